//! The simulator's adapter: runs many dispatchers over standard input and output.
//!
//! Reads frames ([`frame`]), passes their events to the instances ([`instances`]) and writes one
//! reply per frame. Instances share nothing, and no decision is made here: all decisions are those
//! of [`raildeal::Dispatcher`]. The wire protocol is the platform's, and so are the names of its
//! records.

mod frame;
mod instances;
mod reader;
mod writer;

use frame::{FrameError, FrameHeader};
use instances::Instances;
use std::io::{self, ErrorKind, Read, Write};

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
enum DrillError {
    #[error("batch header: {0}")]
    ReadHeader(#[source] io::Error),
    #[error("batch: {0}")]
    ReadBody(#[source] io::Error),
    #[error("batch: input ended at byte {got} of {length}")]
    BodyCutShort { got: usize, length: usize },
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("output: {0}")]
    Write(#[source] io::Error),
}

/// Fills a buffer. Returns false if the input ended before the buffer's first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => {
                let problem = format!("input ended at byte {got}");
                return Err(io::Error::new(ErrorKind::UnexpectedEof, problem));
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Reads a frame's body; the buffer grows only with the bytes received.
fn read_body(input: &mut impl Read, length: usize, body: &mut Vec<u8>) -> Result<(), DrillError> {
    body.clear();
    let mut limited = input.by_ref().take(length as u64);
    let got = limited.read_to_end(body).map_err(DrillError::ReadBody)?;
    if got < length {
        return Err(DrillError::BodyCutShort { got, length });
    }
    Ok(())
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), DrillError> {
    let mut instances = Instances::default();
    let mut header = [0; 8];
    let mut body = Vec::new();
    while fill(input, &mut header).map_err(DrillError::ReadHeader)? {
        let header = FrameHeader::parse(&header)?;
        read_body(input, header.body_length, &mut body)?;
        let reply = instances.handle_batch(header.sequence, &body)?;
        output.write_all(&reply).map_err(DrillError::Write)?;
        output.flush().map_err(DrillError::Write)?;
    }
    Ok(())
}

fn main() {
    if let Err(e) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("raildeal-drill: {e}");
        std::process::exit(1);
    }
}
