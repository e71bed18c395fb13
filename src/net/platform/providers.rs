//! Calls to providers in the platform's protocol.

use super::http::{self, Body, Response};
use crate::delivery::endpoint::Endpoint;
use crate::delivery::{AttemptReport, Envelope, MAX_BODY_BYTES};
use crate::net::calls::{Dialect, Read};
use crate::net::stream::Stream;
use crate::{Nanos, Outcome};
use std::collections::HashMap;
use std::io;
use std::time::Duration;

/// The words of a call by HTTP.
pub struct Poster {
    /// Names of the values in a load report.
    pub columns: Vec<String>,
}

impl Dialect for Poster {
    async fn greet(&self, _: &mut Stream) -> io::Result<Option<Duration>> {
        Ok(None)
    }

    fn request(
        &self,
        provider: &Endpoint,
        envelope: &Envelope,
        left: Duration,
    ) -> io::Result<Vec<u8>> {
        let key = envelope
            .key
            .as_ref()
            .map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
        let notes: String = envelope
            .notes
            .iter()
            .map(|(n, v)| format!("X-Note-{n}: {v}\r\n"))
            .collect();
        let head = format!(
            "POST /hook HTTP/1.1\r\nHost: {}\r\nX-Txn: {}\r\n{key}{notes}X-Remaining: {}m\r\nContent-Length: {}\r\n\r\n",
            provider.entry.address,
            envelope.id,
            left.as_millis().max(1),
            envelope.body.len()
        );
        Ok([head.as_bytes(), &envelope.body].concat())
    }

    async fn answer(
        &self,
        stream: &mut Stream,
        known: &mut Option<AttemptReport>,
    ) -> io::Result<Read> {
        let answer = loop {
            // A first line with 200 is true, whatever becomes of what follows it.
            if http::status(&stream.buf) == Some(200) {
                *known = Some(Outcome::Delivered.into());
            }
            match http::response(&stream.buf)? {
                Some((answer, len)) => {
                    stream.buf.drain(..len);
                    break answer;
                }
                None if stream.fill().await? => {}
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        };
        if answer.is_interim() {
            return Ok(Read::Interim);
        }
        let meaning = report(&answer, &self.columns);
        if meaning.outcome == Outcome::Delivered || answer.body == Body::ToEnd {
            *known = Some(meaning);
            if !answer.keep_alive {
                return Ok(Read::Last);
            }
            http::skip_body(stream, answer.body, MAX_BODY_BYTES).await?;
        } else {
            // Any other answer counts once it is whole: one that is cut short is spoilt, and its
            // message may have run.
            http::skip_body(stream, answer.body, MAX_BODY_BYTES).await?;
            *known = Some(meaning);
        }
        Ok(if answer.keep_alive {
            Read::Whole
        } else {
            Read::Last
        })
    }
}

/// What an answer means.
fn report(answer: &Response, columns: &[String]) -> AttemptReport {
    let told = answer
        .headers
        .get("x-ratelimit-wait-ms")
        .and_then(|v| v.parse::<f64>().ok());
    let wait = told
        .filter(|ms| (0.0..=86_400_000.0).contains(ms))
        .map_or(0, |ms| (ms * 1e6) as Nanos);
    let (outcome, over) = match answer.status {
        200 => (Outcome::Delivered, true),
        410 => (Outcome::NotSent, true),
        504 => (Outcome::NotSent, false),
        503 if answer.headers.get("x-over-slots") == Some("1") => (Outcome::NotSent, false),
        429 | 503 => (Outcome::Rejected { wait }, false),
        _ => (Outcome::Error, false),
    };
    AttemptReport {
        outcome,
        message_closed: over,
        load_report: load(answer.headers.get("x-pressure"), columns),
    }
}

/// A load report by columns; nothing unless all are there.
fn load(text: Option<&str>, columns: &[String]) -> Vec<f32> {
    let items: HashMap<&str, f32> = text
        .unwrap_or("")
        .split(',')
        .filter_map(|i| i.trim().split_once('='))
        .filter_map(|(k, v)| {
            Some((
                k.trim(),
                v.trim().parse().ok().filter(|v: &f32| v.is_finite())?,
            ))
        })
        .collect();
    columns
        .iter()
        .map(|c| items.get(c.as_str()).copied())
        .collect::<Option<_>>()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn read(status: u16, headers: &str) -> AttemptReport {
        let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n");
        let (answer, _) = http::response(text.as_bytes())
            .expect("valid")
            .expect("whole");
        report(&answer, &["x0".into(), "x1".into()])
    }

    #[test]
    fn answers_mean_what_the_protocol_says() {
        let full = |wait| (Outcome::Rejected { wait }, false);
        for (status, headers, outcome) in [
            (200, "", (Outcome::Delivered, true)),
            (500, "", (Outcome::Error, false)),
            (418, "", (Outcome::Error, false)),
            (429, "X-RateLimit-Wait-Ms: 1200\r\n", full(1200 * MS)),
            (429, "X-RateLimit-Wait-Ms: 0.5\r\n", full(MS / 2)),
            (429, "X-RateLimit-Wait-Ms: soon\r\n", full(0)),
            (429, "X-RateLimit-Wait-Ms: -5\r\n", full(0)),
            (429, "X-RateLimit-Wait-Ms: 1e300\r\n", full(0)),
            (503, "", full(0)),
            // Not sent at all: no word on the provider.
            (503, "X-Over-Slots: 1\r\n", (Outcome::NotSent, false)),
            (504, "", (Outcome::NotSent, false)),
            // Over, and nothing more is owed.
            (410, "", (Outcome::NotSent, true)),
        ] {
            let report = read(status, headers);
            assert_eq!(
                (report.outcome, report.message_closed),
                outcome,
                "{status} {headers}"
            );
        }
    }

    #[test]
    fn a_load_report_counts_only_when_whole() {
        assert_eq!(
            read(200, "X-Pressure: x1=25, x0=0.4\r\n").load_report,
            [0.4, 25.0]
        );
        assert!(read(200, "X-Pressure: x0=0.4\r\n").load_report.is_empty());
        assert!(read(200, "X-Pressure: x0=a,x1=b\r\n")
            .load_report
            .is_empty());
    }
}
