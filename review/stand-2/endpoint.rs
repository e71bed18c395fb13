//! A partner's endpoint: POST /hook, answered as a case wants.

use crate::record::{now, say};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call that has arrived whole.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// Seconds since the start of the case at which its last byte was there.
    pub at: f64,
}

/// What an endpoint answers.
pub struct Answer {
    pub after: Duration,
    pub status: u16,
}

impl Answer {
    pub fn status(status: u16, after_ms: u64) -> Self {
        Answer { after: Duration::from_millis(after_ms), status }
    }
}

pub struct Endpoint {
    pub address: SocketAddr,
    pub name: String,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Endpoint {
    /// Serves at an address; `answer` is asked for each call, with those before it.
    pub fn start(
        name: &str,
        at: SocketAddr,
        answer: impl Fn(&Call, &[Call]) -> Answer + Send + Sync + 'static,
    ) -> Result<Endpoint, String> {
        let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let calls = Arc::<Mutex<Vec<Call>>>::default();
        let (answer, kept, called) = (Arc::new(answer), calls.clone(), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, calls, name) = (answer.clone(), kept.clone(), called.clone());
                std::thread::spawn(move || serve(stream, &name, &calls, &*answer));
            }
        });
        Ok(Endpoint { address, name: name.to_string(), calls })
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().map(|c| c.clone()).unwrap_or_default()
    }
}

fn serve(
    stream: TcpStream,
    name: &str,
    calls: &Mutex<Vec<Call>>,
    answer: &dyn Fn(&Call, &[Call]) -> Answer,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(id) = read_call(&mut reader) {
        let call = Call { id, at: now() };
        let (place, answer) = {
            let Ok(mut all) = calls.lock() else { return };
            let answer = answer(&call, &all);
            all.push(call.clone());
            (all.len(), answer)
        };
        say(&format!("{name}: call {place} for {}", call.id));
        std::thread::sleep(answer.after);
        let text = format!("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", answer.status);
        if writer.write_all(text.as_bytes()).is_err() {
            say(&format!("{name}: {} not answered, its connection has ended", call.id));
            return;
        }
        say(&format!("{name}: {} answered {}", call.id, answer.status));
    }
}

/// Reads one call; nothing at the end of the connection.
fn read_call(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    for first in [true, false].into_iter().chain(std::iter::repeat(false)) {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && !first {
            break;
        }
        if let Some((field, value)) = line.split_once(':') {
            match field.to_ascii_lowercase().as_str() {
                "x-txn" => id = value.trim().to_string(),
                "content-length" => length = value.trim().parse().ok()?,
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(id)
}
