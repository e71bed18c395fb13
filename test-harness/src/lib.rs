//! Many processes of the real program beside stand-ins for the directory and for partners, with
//! faults between them. What is judged is what the stand-ins saw, not what the program says of
//! itself.
#![forbid(unsafe_code)]

pub mod calm;
pub mod cold_start;
pub mod directory;
pub mod federated;
pub mod keepers;
pub mod limits;
pub mod partner;
pub mod policy;
mod port;
pub mod record;
pub mod relay;
pub mod routing;
pub mod rules;
mod sayings;
pub mod scenario;
pub mod sender;
pub mod soak;
mod stage;
pub mod steps;
pub mod syscall_faults;
pub mod tables;
pub mod zone;

use std::io::{self, BufRead, Read};

/// A request or an answer: its first line, its headers in lower case, its body.
#[derive(Debug, Default)]
pub(crate) struct Http {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Http {
    /// Reads one with its body; nothing at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<(Http, String)>> {
        let mut http = Http::default();
        if from.read_line(&mut http.first)? == 0 {
            return Ok(None);
        }
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            http.headers
                .push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = http
            .header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let mut body = Vec::new();
        from.by_ref().take(length).read_to_end(&mut body)?;
        Ok(Some((http, String::from_utf8_lossy(&body).into_owned())))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}
