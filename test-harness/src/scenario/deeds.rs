//! What happens in a schedule, to whom, and when.

use crate::limits::Death;
use crate::policy::Order;
use crate::relay::Fault;
use crate::tables::TableOrder;
use serde::Deserialize;

/// Some keepers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Which {
    /// All.
    All,
    /// The one that leads.
    Leader,
    /// All but the one that leads.
    Others,
    /// The first of those that began the site, run and do not lead.
    Follower,
    /// The one that logged what the step waited for.
    Speaker,
    /// Those that do not run.
    Down,
    /// Those that stand still.
    Stopped,
    /// These, counted from 0.
    These(Vec<usize>),
    /// Those of the sites that a word means; a site before a slash.
    At(String, Box<Which>),
    /// These of these sites, counted from 0.
    Exactly(Vec<(usize, usize)>),
}

impl TryFrom<String> for Which {
    type Error = String;

    fn try_from(word: String) -> Result<Which, String> {
        if let Some((site, which)) = word.split_once('/') {
            return Ok(Which::At(
                site.to_string(),
                Box::new(Which::try_from(which.to_string())?),
            ));
        }
        let number = |one: &str| {
            one.trim()
                .strip_prefix('k')?
                .parse::<usize>()
                .ok()?
                .checked_sub(1)
        };
        match word.as_str() {
            "all" => Ok(Which::All),
            "leader" => Ok(Which::Leader),
            "others" => Ok(Which::Others),
            "follower" => Ok(Which::Follower),
            "speaker" => Ok(Which::Speaker),
            "down" => Ok(Which::Down),
            "stopped" => Ok(Which::Stopped),
            these => these.split(',').map(number).collect::<Option<Vec<_>>>().map(Which::These).ok_or(format!(
                "'{word}' is none of all, leader, others, follower, speaker, down, stopped, and no keepers as k1, k2"
            )),
        }
    }
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds from the beginning, or from when `after` holds.
    #[serde(default)]
    pub at_s: f64,
    /// What it does is undone after so many seconds, for those whom it met.
    pub for_s: Option<f64>,
    /// Nothing is missed if it never comes.
    #[serde(default)]
    pub may_fail: bool,
    /// A sender logs something.
    pub after: Option<After>,
    /// To whom; to all, if nothing is said.
    #[serde(default)]
    pub who: Who,
    /// What.
    #[serde(rename = "does")]
    pub deed: Deed,
}

/// A line of a log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct After {
    /// The sender or keeper; any keeper where it is `keepers`, any sender where it is `senders`;
    /// those of a site, where that and a slash go before.
    pub who: String,
    /// Words of the line.
    pub says: String,
    /// What was said earlier does not count, in seconds from the beginning.
    #[serde(default)]
    pub since_s: f64,
    /// It takes so many lines, of all of them together.
    #[serde(default = "once")]
    pub times: usize,
}

/// Some senders.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Who {
    /// By name; `SITE/senders` are those of a site, `speaker` is the one that logged what the step
    /// waited for.
    Names(Vec<String>),
    /// So great a part of them, the first ones.
    Share(f64),
}

impl Default for Who {
    fn default() -> Self {
        Who::Share(1.0)
    }
}

/// What happens to senders, their lines to the directory, the directory, or its list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Deed {
    /// Processes start.
    Start,
    /// They are killed.
    Kill,
    /// They are told to end.
    TellToEnd,
    /// They stand still.
    Stop,
    /// They go on.
    GoOn,
    /// They are told to read their configuration again.
    HangUp,
    /// The same; it names another address of the directory, and the old one is shut.
    Move,
    /// The folders of those that do not run are lost.
    LoseFolder,
    /// Their lines to the directory have this fault and no other; an empty one heals them.
    Line(Fault),
    /// The directory is down.
    DirectoryDown,
    /// It is back.
    DirectoryBack,
    /// It answers 503 to each ask, or serves them again.
    Busy(bool),
    /// It takes so many milliseconds to refuse an ask while it is busy.
    RefusesAfterMs(u64),
    /// It resets all watches.
    ResetWatches,
    /// It tells nobody of changes, or does again.
    Quiet(bool),
    /// It needs so many milliseconds for an ask.
    AskMs(u64),
    /// An endpoint drains.
    Drain(String),
    /// It has left.
    Leave(String),
    /// It is back.
    Return(String),
    /// All endpoints of a zone die.
    ZoneDies {
        /// The zone.
        zone: String,
        /// How.
        how: Death,
    },
    /// All endpoints of a zone live again; those that were away are cold.
    ZoneBack(String),
    /// The directory lists none of a zone any more.
    ZoneUnlisted(String),
    /// It lists them again.
    ZoneListed(String),
    /// An endpoint dies.
    EndpointDies {
        /// Its name.
        endpoint: String,
        /// How.
        how: Death,
    },
    /// It lives again, and is cold if it was away.
    EndpointBack(String),
    /// The lines to all endpoints of a zone have this fault and no other.
    EndpointLines {
        /// The zone.
        zone: String,
        /// The fault.
        fault: Fault,
    },
    /// Keepers start.
    KeeperStart(Which),
    /// They are killed.
    KeeperKill(Which),
    /// They stand still.
    KeeperStop(Which),
    /// They go on.
    KeeperGoOn(Which),
    /// The folders of those that do not run are lost.
    KeeperLoseFolder(Which),
    /// The same, and their next start is as at the first start of the site.
    KeeperBeginAnew(Which),
    /// They are killed, their folders are lost, and they start again.
    KeeperForget(Which),
    /// They are killed, the newest files of their folders are cut at a byte that is drawn, and they
    /// start again.
    KeeperTear(Which),
    /// What they write finds no room.
    KeeperFull(Which),
    /// It finds room again.
    KeeperRoom(Which),
    /// A person gives the order to add one.
    KeeperAdd(Which),
    /// A person gives the order to remove one; who was meant ends by itself.
    KeeperRemove(Which),
    /// A person gives an order: the words behind `raildeal fleet`.
    Order(Vec<String>),
    /// A person orders something of policies; the step goes on at once.
    Policy {
        /// What.
        order: Order,
        /// The keeper that is asked first.
        #[serde(default = "all_keepers")]
        by: Which,
    },
    /// The lines from keepers to keepers have this fault and no other: one way; the other way is
    /// another line.
    KeeperLines {
        /// From these.
        from: Which,
        /// To those.
        to: Which,
        /// The fault.
        fault: Fault,
    },
    /// A person orders something of routing tables or sites; the step goes on at once.
    Table {
        /// What.
        order: TableOrder,
        /// The keeper that is asked first, and its site alone.
        #[serde(default = "all_keepers")]
        by: Which,
        /// It is ordered again for so many seconds until it is taken.
        #[serde(default)]
        patient_s: u64,
    },
    /// The lines that lead from a site to the keepers of others have this fault and no other.
    SiteLines {
        /// The site.
        from: String,
        /// The others; all, if none is named.
        #[serde(default = "all_sites")]
        to: String,
        /// Also those that lead back.
        #[serde(default)]
        both: bool,
        /// The fault.
        fault: Fault,
    },
    /// A site whose keepers do not run is to join its federation under a new number; its folders
    /// are lost and its next start is as at its first one, unless it keeps them.
    SiteAnew {
        /// The site.
        site: String,
        /// The number.
        number: u64,
        /// See above.
        #[serde(default)]
        keeps: bool,
    },
    /// The lines from the senders that stand in a zone to keepers have this fault and no other.
    AgentLines {
        /// The zone; all, if none is named.
        zone: Option<String>,
        /// The keepers.
        #[serde(default = "all_keepers")]
        to: Which,
        /// The fault.
        fault: Fault,
    },
}

fn once() -> usize {
    1
}

impl Deed {
    /// What undoes it, for these senders and keepers; nothing, where it lasts.
    pub(super) fn undone(&self, keepers: &[(usize, usize)]) -> Option<Deed> {
        let these = || Which::Exactly(keepers.to_vec());
        let whole = Fault::default();
        Some(match self {
            Deed::Kill | Deed::TellToEnd => Deed::Start,
            Deed::Stop => Deed::GoOn,
            Deed::Line(_) => Deed::Line(whole),
            Deed::DirectoryDown => Deed::DirectoryBack,
            Deed::Busy(true) => Deed::Busy(false),
            Deed::Quiet(true) => Deed::Quiet(false),
            Deed::Drain(uid) | Deed::Leave(uid) => Deed::Return(uid.clone()),
            Deed::ZoneDies { zone, .. } => Deed::ZoneBack(zone.clone()),
            Deed::ZoneUnlisted(zone) => Deed::ZoneListed(zone.clone()),
            Deed::EndpointDies { endpoint, .. } => Deed::EndpointBack(endpoint.clone()),
            Deed::EndpointLines { zone, .. } => Deed::EndpointLines {
                zone: zone.clone(),
                fault: whole,
            },
            Deed::KeeperKill(_) => Deed::KeeperStart(these()),
            Deed::KeeperStop(_) => Deed::KeeperGoOn(these()),
            Deed::KeeperFull(_) => Deed::KeeperRoom(these()),
            Deed::KeeperLines { from, to, .. } => {
                // Whoever was meant by one word: all lines of theirs, which is more.
                let named = |which: &Which| {
                    matches!(which, Which::These(_) | Which::All | Which::Exactly(_))
                };
                let (from, to) = if named(from) && named(to) {
                    (from.clone(), to.clone())
                } else {
                    (Which::All, Which::All)
                };
                Deed::KeeperLines {
                    from,
                    to,
                    fault: whole,
                }
            }
            Deed::AgentLines { zone, .. } => Deed::AgentLines {
                zone: zone.clone(),
                to: these(),
                fault: whole,
            },
            // Whichever sites were meant by a word: all lines, which is more.
            Deed::SiteLines { .. } => {
                let all = || "all".to_string();
                Deed::SiteLines {
                    from: all(),
                    to: all(),
                    both: true,
                    fault: whole,
                }
            }
            _ => return None,
        })
    }

    /// Keepers that it names.
    pub(super) fn keepers(&self) -> Vec<&Which> {
        match self {
            Deed::KeeperStart(which)
            | Deed::KeeperKill(which)
            | Deed::KeeperStop(which)
            | Deed::KeeperGoOn(which)
            | Deed::KeeperLoseFolder(which)
            | Deed::KeeperBeginAnew(which)
            | Deed::KeeperForget(which)
            | Deed::KeeperTear(which)
            | Deed::KeeperFull(which)
            | Deed::KeeperRoom(which)
            | Deed::KeeperAdd(which)
            | Deed::KeeperRemove(which)
            | Deed::AgentLines { to: which, .. } => vec![which],
            Deed::KeeperLines { from, to, .. } => vec![from, to],
            Deed::Table { by, .. } | Deed::Policy { by, .. } => vec![by],
            _ => Vec::new(),
        }
    }
}

fn all_sites() -> String {
    "all".to_string()
}

fn all_keepers() -> Which {
    Which::All
}

impl Step {
    /// To all, some seconds from the beginning.
    pub(crate) fn at(at_s: f64, deed: Deed) -> Step {
        Step {
            at_s,
            for_s: None,
            may_fail: false,
            after: None,
            who: Who::default(),
            deed,
        }
    }
}
