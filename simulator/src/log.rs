//! What happened in a day, as checkers, tallies and files get it.

use raildeal::{DestinationId, Nanos, Outcome};
use serde::Serialize;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// A partner took it.
    Delivered,
    /// It may be handed in again.
    Refused,
    /// It failed.
    Failed,
}

/// One thing that happened. Messages, endpoints and senders are numbers of the day's own.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Fact {
    /// A message was due for the first time.
    Due {
        /// Which.
        message: u32,
        /// Its class.
        class: u16,
        /// Its destination.
        dest: DestinationId,
    },
    /// A sender took a message on, to be over by a time.
    TakenOn {
        /// Which.
        message: u32,
        /// By whom.
        sender: u16,
        /// Its class.
        class: u16,
        /// When it has to be over.
        by: Nanos,
    },
    /// A message was not taken on.
    TurnedAway {
        /// Which.
        message: u32,
        /// By whom.
        sender: u16,
        /// Why.
        why: &'static str,
    },
    /// A message's client hands it in no more.
    GaveUp {
        /// Which.
        message: u32,
    },
    /// A message that was taken on has its final answer.
    Ended {
        /// Which.
        message: u32,
        /// By whom.
        sender: u16,
        /// How.
        verdict: Verdict,
    },
    /// A call begins.
    Call {
        /// For which message.
        message: u32,
        /// By whom.
        sender: u16,
        /// To whom.
        endpoint: u32,
        /// Whose endpoint it is.
        dest: DestinationId,
        /// In which building.
        zone: u16,
    },
    /// A call is over, as its sender sees it.
    Answer {
        /// For which message.
        message: u32,
        /// Whose.
        sender: u16,
        /// By whom.
        endpoint: u32,
        /// How.
        #[serde(serialize_with = "as_text")]
        outcome: Outcome,
    },
    /// A sender is told to wait for a partner, or one endpoint of it.
    Wait {
        /// Who.
        sender: u16,
        /// For whom: a destination, or an endpoint of it.
        dest: DestinationId,
        /// That endpoint, where endpoints are limited apart.
        endpoint: Option<u32>,
        /// Until when.
        until: Nanos,
    },
    /// A sender hears that an endpoint is wanted, or not any more.
    Listed {
        /// Who.
        sender: u16,
        /// Which.
        endpoint: u32,
        /// Whether it may get what is new.
        ready: bool,
    },
    /// A sender died.
    Died {
        /// Who.
        sender: u16,
    },
    /// A sender began.
    Began {
        /// Who.
        sender: u16,
    },
    /// A partner comes back cold.
    Back {
        /// Who.
        dest: DestinationId,
    },
    /// A partner that came back was pushed over.
    Toppled {
        /// Who.
        dest: DestinationId,
        /// By senders that had seen it fail, as a part.
        warned: f64,
    },
    /// Trouble begins or ends.
    Trouble {
        /// Which, as the day's file lists them.
        number: usize,
        /// Whether it begins.
        begins: bool,
    },
}

fn as_text<S: serde::Serializer>(outcome: &Outcome, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(&format_args!("{outcome:?}"))
}

/// Gets all that happens, in order.
pub trait See {
    /// This happened.
    fn see(&mut self, now: Nanos, fact: &Fact);
}

/// A fact as a line of a log.
pub fn line(now: Nanos, fact: &Fact) -> String {
    let fact = serde_json::to_string(fact).expect("a fact has a form");
    format!("{{\"at\":{now},{}", &fact[1..])
}

impl See for Vec<(Nanos, Fact)> {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        self.push((now, fact.clone()));
    }
}
