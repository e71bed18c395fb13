//! A stand-in for discovery and for the address that takes notices: one list that does not change,
//! told to all who ask.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Final answers, by message and by what they say; how many times each came is kept, too.
pub type Notices = Arc<Mutex<BTreeMap<String, (String, u32)>>>;

/// Starts one that tells this list.
pub fn start(list: Value) -> std::io::Result<(SocketAddr, Notices)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let notices = Notices::default();
    let (told, list) = (notices.clone(), Arc::new(list.to_string()));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (told, list) = (told.clone(), list.clone());
            // A connection that breaks is asked for again.
            thread::spawn(move || drop(serve(stream, &list, &told)));
        }
    });
    Ok((address, notices))
}

fn serve(stream: TcpStream, list: &str, notices: &Notices) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let (mut first, mut length) = (String::new(), 0);
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? <= 2 {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        if first.starts_with("POST ") {
            let mut all = notices.lock().unwrap_or_else(|e| e.into_inner());
            for line in String::from_utf8_lossy(&body).lines() {
                let Ok(notice) = serde_json::from_str::<Value>(line) else {
                    continue;
                };
                let text = |field: &str| notice[field].as_str().unwrap_or_default().to_string();
                let told = all.entry(text("id")).or_insert_with(|| (text("status"), 0));
                told.1 += 1;
            }
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else {
            let chunk = format!("{list}\n");
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            write!(stream, "{head}{:x}\r\n{chunk}\r\n", chunk.len())?;
            // The watch stays open and has nothing more to say.
            reader.read_exact(&mut [0])?;
            return Ok(());
        }
    }
}
