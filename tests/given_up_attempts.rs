//! State of a cancelled attempt at its endpoint when the next attempt may start.

use async_io::Async;
use futures_lite::{future, AsyncReadExt};
use raildeal::delivery::endpoint::{Endpoint, EndpointEntry};
use raildeal::delivery::timer_wheel::TimerWheel;
use raildeal::delivery::{AttemptRequest, EndpointClient, Envelope};
use raildeal::net::calls::Calls;
use raildeal::net::platform::providers::Poster;
use raildeal::{Condition, EndpointAddress, Outcome};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_millis(100);

fn endpoint(address: SocketAddr) -> Rc<Endpoint> {
    Rc::new(Endpoint {
        endpoint: EndpointAddress {
            addr: [127, 0, 0, 1],
            port: address.port(),
        },
        entry: EndpointEntry {
            uid: "s0".into(),
            address,
            zone: "a".into(),
            kind: "m".into(),
            dest: 0,
            condition: Condition::Ready,
            rate: 0.0,
            started_unix_ms: 0,
        },
        zone: 0,
        kind: 0,
    })
}

fn calls(wheel: &Rc<TimerWheel>) -> Rc<Calls<Poster>> {
    let poster = Poster {
        columns: Vec::new(),
    };
    Calls::new(poster, wheel.clone(), TIMEOUT, Duration::ZERO, 1)
}

/// Reads a connection to its end without answering.
async fn read_to_end(listener: &Async<TcpListener>) {
    let (mut stream, _): (Async<TcpStream>, _) = listener.accept().await.expect("a call");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("its end");
    assert!(!bytes.is_empty(), "no call was sent");
}

/// Guards against a second attempt that arrives while the first is still in flight at its endpoint.
#[test]
fn an_attempt_that_timed_out_ends_once_its_endpoint_can_see_the_close() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let wheel = TimerWheel::new();
    let calls = calls(&wheel);
    let is_closed = Cell::new(false);
    let endpoint_side = async {
        read_to_end(&listener).await;
        is_closed.set(true);
    };
    let sender_side = async {
        let ends_at = Instant::now() + 20 * TIMEOUT;
        let envelope = Envelope::default();
        let report = calls.execute(AttemptRequest {
            endpoint: endpoint(address),
            envelope: &envelope,
            timeout: TIMEOUT,
            ends_at,
            authorize_send: &|| true,
        });
        assert_eq!(report.await.outcome, Outcome::Timeout);
        assert!(
            is_closed.get(),
            "the attempt ended before its close was seen"
        );
    };
    let both = async {
        future::zip(endpoint_side, sender_side).await;
    };
    async_io::block_on(future::or(both, async {
        wheel.run().await;
    }));
}
