//! The words between agents and keepers, between operators and keepers, and between keepers.

use serde::{Deserialize, Serialize};

/// The form of all of this. One that is told another form ends the connection.
pub const VERSION: u16 = 3;
/// Longest frame, in bytes.
pub const MOST: usize = 256 * 1024;

/// Says who opens a connection; the first word on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// The site. One of another site is shut out.
    pub site: String,
    /// Who it is.
    pub who: Who,
}

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Who {
    /// A keeper, by its number.
    Keeper(u64),
    /// The agent in a sender.
    Agent,
    /// An operator's command.
    Person,
    /// Another site of the federation that [`Hello::site`] names then, by its number: the keeper
    /// there that leads.
    Site(u64),
}

/// What came of a sender's calls, as counts and not as verdicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Delivered.
    pub ok: u32,
    /// Turned away unseen.
    pub refused: u32,
    /// Answered with an error, or broken after the last byte.
    pub failed: u32,
    /// No answer in time.
    pub late: u32,
    /// No connection.
    pub unconnected: u32,
    /// Out now, for longer than calls there usually take. This one is what it is now, and not a
    /// count since the last report.
    pub hanging: u32,
}

/// Counts of one zone and destination since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The zone of the endpoints.
    pub zone: String,
    /// The destination.
    pub dest: u16,
    /// What came of calls there.
    pub counts: Counts,
}

/// What the list that a sender holds says of one zone and destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The zone of the endpoints.
    pub zone: String,
    /// The destination.
    pub dest: u16,
    /// Endpoints that want calls.
    pub endpoints: u32,
    /// Calls a second that they take together, as listed.
    pub rate: f32,
}

/// What an agent says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// Begins or renews a session. A sender that starts has another `boot`.
    Open {
        /// Name of the sender.
        sender: String,
        /// Drawn at the start of its process.
        boot: u64,
        /// The zone that it stands in.
        zone: String,
        /// The version of the record that it has; 0 for none.
        has: u64,
        /// Policies that it has checked and written down, by number, with the print of each.
        /// Nothing where its file lets it follow no policies: then it is never offered one.
        stored: Option<Vec<(u64, Print)>>,
    },
    /// Renews the lease and tells what it saw.
    Tell {
        /// Numbers the reports of one boot, from 1; one that comes twice counts once.
        report: u64,
        /// The version of the record that it goes by.
        has: u64,
        /// What it saw.
        seen: Vec<Seen>,
        /// The list that it holds, where it has changed since it was last told.
        listed: Option<Vec<Listed>>,
        /// Cold calls that it could use now, by zone and destination.
        wants: Vec<Want>,
        /// What became of messages since the last report, by policy, class and tenant.
        health: Vec<Health>,
    },
    /// Answers [`ToAgent::Offer`].
    Stored {
        /// The policy.
        number: u64,
        /// Why it cannot go by it, each fault on a line of its own; nothing where it is checked and
        /// written down.
        refused: Option<String>,
    },
    /// It goes by [`ToAgent::Rule`] of this turn: where that was a pause, nothing new is taken on
    /// until a later one.
    Rules {
        /// The turn.
        turn: u64,
    },
    /// Ends the session: the sender ends.
    Leave,
    /// On routing tables; only from a sender whose file lets it follow them.
    Table(FromSender),
}

/// What an agent says of routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromSender {
    /// It has a session, said right behind [`FromAgent::Open`], and has checked and written down
    /// these tables, by number.
    Has(Vec<(u64, Print)>),
    /// Answers [`ToSender::Offer`].
    Stored {
        /// The table.
        number: u64,
        /// Why it cannot go by it, each fault on a line of its own; nothing where it is checked and
        /// written down.
        refused: Option<String>,
    },
    /// It goes by [`ToSender::Rule`] of this turn: where that shut the door, nothing new is taken
    /// on until a later one.
    Rules {
        /// The turn.
        turn: u64,
    },
}

/// Cold calls that are asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The zone.
    pub zone: String,
    /// The destination.
    pub dest: u16,
    /// How many.
    pub calls: u32,
}

/// What a keeper says to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Ask this keeper, which leads; nothing where nobody is known to.
    Elsewhere(Option<u64>),
    /// The session holds for so long from when the word was sent that this answers, in
    /// milliseconds.
    Renewed {
        /// The report that this answers; 0 for [`FromAgent::Open`].
        report: u64,
        /// How long it holds.
        lease_ms: u32,
    },
    /// The record as it concerns senders, whole; only sent where it changed.
    View(View),
    /// Cold calls that may be begun.
    Grant(Grant),
    /// The session has lapsed or was never there: open it.
    Unknown,
    /// Check this policy against the sender's own settings and write it down; nothing changes by
    /// it.
    Offer {
        /// Its number.
        number: u64,
        /// Its print, as in the record.
        print: Print,
        /// Its text.
        text: String,
    },
    /// What messages are taken on under in the sender's zone from now on. A word of an earlier turn
    /// than one that was heard is none.
    Rule {
        /// Grows with each change of what is in force or paused anywhere in the record.
        turn: u64,
        /// The policy in force; 0 for the sender's own settings alone.
        number: u64,
        /// Nothing new is taken on before the next word: not even under this one.
        paused: bool,
    },
    /// On routing tables; only to a sender that said [`FromSender::Has`] on this line.
    Table(ToSender),
}

/// What a keeper says of routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToSender {
    /// Check this table against the sender's own list and settings and write it down; nothing
    /// changes by it.
    Offer {
        /// Its number.
        number: u64,
        /// Its print, as in the record.
        print: Print,
        /// Its text.
        text: String,
    },
    /// What messages are taken on and routed by at this site from now on. A word of an earlier turn
    /// than one that was heard is none.
    Rule {
        /// Grows with each change of the site's table or its stance.
        turn: u64,
        /// The table in force; 0 for the list alone.
        number: u64,
        /// Whether anything new is taken on.
        stance: Stance,
    },
}

/// Whether a site takes messages on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stance {
    /// It does.
    #[default]
    Open,
    /// Not for the moment between two tables.
    Paused,
    /// Not until it is heard by its federation again: its lease there is over.
    Held,
}

/// The print of a policy: a hash of its canonical form, over which senders and keepers agree that
/// they mean the same.
pub type Print = [u8; 32];

/// What became of messages of one policy, class and tenant since the last report: counts, not
/// verdicts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The policy that they were taken on under.
    pub policy: u64,
    /// Name of the class.
    pub class: String,
    /// The tenant, as a position in the settings.
    pub tenant: u16,
    /// Taken on.
    pub taken: u32,
    /// Delivered within the promise.
    pub delivered: u32,
    /// Delivered later than that.
    pub late: u32,
    /// Given back unseen: deferred.
    pub refused: u32,
    /// Failed for good.
    pub failed: u32,
    /// Turned away at the door or by the module before they were taken on.
    pub turned_away: u32,
}

/// Leased cold calls: what is not begun in time is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The report that asked for it: its lease counts from when that was sent.
    pub report: u64,
    /// The zone.
    pub zone: String,
    /// The epoch of the return. One of another epoch is void.
    pub epoch: u64,
    /// The destination.
    pub dest: u16,
    /// How many.
    pub calls: u32,
    /// They have to be begun within this time from when the report was sent, in milliseconds.
    pub within_ms: u32,
}

/// The record as it concerns senders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The version of the record.
    pub version: u64,
    /// Zones that are left or being returned to. Those that are not named are in use.
    pub zones: Vec<ZoneOrder>,
}

/// What is ordered of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: String,
    /// Grows with each order.
    pub epoch: u64,
    /// Whether it is being returned to: then a sender that is out may begin calls there by
    /// [`Grant`]s.
    pub returning: bool,
    /// By destination, the part of the senders that is out, over 0 and up to 1: those whose lot is
    /// under it ([`lot`]). Destinations that are not named stay.
    pub out: Vec<(u16, f32)>,
}

/// A sender's lot for a destination of a zone, evenly from 0 to 1. It is the same for one sender as
/// long as the epoch is.
pub fn lot(sender: &str, zone: &str, dest: u16) -> f32 {
    let mut print = crc32fast::Hasher::new();
    print.update(sender.as_bytes());
    print.update(&[0]);
    print.update(zone.as_bytes());
    print.update(&dest.to_be_bytes());
    // A checksum of short names is not even in its upper bits alone.
    let mixed = u64::from(print.finalize()).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 40) as f32 / (1u32 << 24) as f32
}

/// What an operator orders or asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPerson {
    /// How things stand.
    Status,
    /// What of zones.
    Zone {
        /// The zone.
        zone: String,
        /// What.
        order: ZoneWish,
        /// The word holds for so long, in seconds; 0 until another one.
        for_s: u64,
    },
    /// A keeper joins the group in place of none.
    Add {
        /// Its number.
        keeper: u64,
        /// Where it listens.
        at: String,
    },
    /// A keeper leaves the group for good.
    Remove {
        /// Its number.
        keeper: u64,
    },
    /// A policy is to be rolled out; both as they are written.
    Propose {
        /// The policy.
        text: String,
        /// The plan.
        plan: String,
    },
    /// How its rollout stands.
    Policies,
    /// Rollouts that are over.
    PastPolicies,
    /// The text of a policy.
    Policy {
        /// Its number.
        number: u64,
    },
    /// The rollout goes no further until another word.
    Halt {
        /// Why; may be empty.
        why: String,
    },
    /// It goes on.
    Resume,
    /// It goes back, the last stage first.
    Back,
    /// On the federation and its routing table.
    Table(TableOrder),
}

/// What an operator orders or asks of the federation, at any of its sites.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableOrder {
    /// A table is to be agreed by all sites; done when the federation's record has the proposal.
    Propose {
        /// As it is written.
        text: String,
        /// It ends nowhere if not all sites have accepted it in so many seconds.
        within_s: u32,
    },
    /// How it stands.
    Status,
    /// The proposal ends nowhere.
    Abort {
        /// Why; may be empty.
        why: String,
    },
    /// Proposals that are over.
    History,
    /// The text of a table that is in force, was before, or is proposed.
    Text {
        /// Its number.
        number: u64,
    },
    /// A site is off the roster, once it is fenced: it takes nothing on by its table any more.
    Off {
        /// Its name.
        site: String,
    },
    /// A site joins under a number that was never used.
    Join {
        /// Its name.
        site: String,
        /// Its number.
        number: u64,
        /// Its keepers.
        at: Vec<String>,
    },
}

/// What a person wants of a zone; goes before evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneWish {
    /// Leave it.
    Leave,
    /// Return to it, at the pace of its warm-up.
    Return,
    /// As it is: evidence moves nothing.
    Hold,
    /// Evidence decides again.
    Free,
}

/// What a keeper says to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPerson {
    /// Done, or as it was before: the version of the record that has it.
    Done(u64),
    /// Not done, and why.
    Refused(String),
    /// Ask this keeper.
    Elsewhere(Option<u64>),
    /// How things stand.
    Status(Box<Status>),
    /// How policies stand.
    Policies(Box<PolicyStatus>),
    /// Rollouts that are over, the newest first.
    PastPolicies(Vec<PolicyPast>),
    /// A policy.
    Policy {
        /// Its number.
        number: u64,
        /// Its print.
        print: Print,
        /// Its text.
        text: String,
    },
    /// How the federation and its table stand.
    Federation(Box<FederationStatus>),
    /// Proposals that are over, the newest first.
    PastTables(Vec<TablePast>),
    /// A table.
    Table {
        /// Its number.
        number: u64,
        /// Its print.
        print: Print,
        /// Its text.
        text: String,
    },
}

/// How the federation stands, as one site knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FederationStatus {
    /// Its name.
    pub federation: String,
    /// The site that says so.
    pub site: String,
    /// The site that leads; empty where none is known to.
    pub leader: String,
    /// For how long this site's lease runs, in milliseconds; 0 where it is over.
    pub lease_ms: u64,
    /// What this site does beyond its lease: it holds, or goes on.
    pub holds: bool,
    /// The table in force and its print; 0 for the list alone.
    pub table: (u64, Print),
    /// The sites.
    pub sites: Vec<SiteStatus>,
    /// The proposal that runs.
    pub proposal: Option<ProposalStatus>,
    /// What is waited for at this site, in words, and the senders that are: a thousand at the most.
    pub here: (String, Vec<String>),
    /// Senders here that refuse, and why.
    pub refused: Vec<(String, String)>,
}

/// A site of the federation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Its name.
    pub site: String,
    /// Its number.
    pub number: u64,
    /// The table that it goes by.
    pub uses: u64,
    /// It has accepted the proposal that runs.
    pub accepted: bool,
    /// As far as the site that says so knows, it is heard.
    pub heard: bool,
}

/// A proposal that runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProposalStatus {
    /// Its number.
    pub number: u64,
    /// Its print.
    pub print: Print,
    /// The site where it was proposed.
    pub by: String,
    /// It ends after so many milliseconds more.
    pub left_ms: u64,
    /// Sites that have not accepted it.
    pub waits: Vec<String>,
}

/// A proposal that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TablePast {
    /// Its number.
    pub number: u64,
    /// Its print.
    pub print: Print,
    /// The site where it was proposed.
    pub by: String,
    /// How it ended.
    pub end: String,
    /// From its proposal to its end, on the federation's clock, in milliseconds.
    pub took_ms: u64,
}

/// How policies stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// The last turn.
    pub turn: u64,
    /// What is in force where.
    pub zones: Vec<PolicyZone>,
    /// The rollout that runs.
    pub rollout: Option<PolicyRollout>,
    /// The last one that is over.
    pub done: Option<PolicyPast>,
}

/// What is in force in a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyZone {
    /// The zone.
    pub zone: String,
    /// The policy; 0 for each sender's own settings.
    pub number: u64,
    /// Nothing new is taken on.
    pub paused: bool,
    /// Senders there that hold a lease.
    pub senders: u32,
}

/// A rollout that runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyRollout {
    /// Its policy.
    pub number: u64,
    /// The policy that it goes back from; 0 for none.
    pub back_of: u64,
    /// The policy's print.
    pub print: Print,
    /// Its stage, from 1.
    pub stage: u32,
    /// The zones of each stage, and how many senders hold a lease there.
    pub stages: Vec<(Vec<String>, u32)>,
    /// Where it stands with the stage, in words.
    pub step: String,
    /// Why it halts.
    pub halted: Option<String>,
    /// What is seen of the stage.
    pub seen: String,
    /// What senders are waited for to do, and who: a thousand names at the most.
    pub waits_what: String,
    /// Their names.
    pub waits: Vec<String>,
    /// Senders that cannot go by it, and why.
    pub refused: Vec<(String, String)>,
}

/// A rollout that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyPast {
    /// Its policy.
    pub number: u64,
    /// The policy that it went back from; 0 for none.
    pub back_of: u64,
    /// The policy's print.
    pub print: Print,
    /// Stages in which it was in force.
    pub in_force: u32,
    /// All its stages.
    pub stages: u32,
    /// How it ended.
    pub end: String,
    /// How often it halted.
    pub halts: u32,
    /// From its proposal to its end, on the record's clock.
    pub took_ms: u64,
}

/// How things stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The site.
    pub site: String,
    /// Who says so.
    pub keeper: u64,
    /// Who leads.
    pub leader: u64,
    /// In which term.
    pub term: u64,
    /// The version of the record.
    pub version: u64,
    /// Keepers that vote.
    pub keepers: Vec<u64>,
    /// Senders that hold a lease, with the version that each goes by.
    pub senders: Vec<(String, u64)>,
    /// Senders whose lease lapsed.
    pub lapsed: Vec<String>,
    /// The zones, one line each: its name, what is ordered, and why.
    pub zones: Vec<(String, String, String)>,
    /// What keeps other keepers from taking part, as the one that says so knows it.
    pub trouble: Vec<(u64, String)>,
}

#[cfg(test)]
mod tests;
