//! Lines that processes log, as far as somebody waits for them or counts them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Words that are waited for.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    /// The sender or keeper; any keeper where it is `keepers`, any sender where it is `senders`;
    /// those of a site, where that and a slash go before.
    pub who: String,
    /// The words.
    pub says: String,
    /// What was said earlier does not count, from the beginning.
    pub since: Duration,
    /// Lines with these words that it takes.
    pub times: usize,
    /// Lines with these words that came.
    pub heard: usize,
    /// When the last one of those that it takes came, and from whom.
    pub at: Option<(Instant, String)>,
}

impl Wait {
    /// One for nothing that anybody says.
    pub fn none() -> Wait {
        let (who, says) = (String::new(), String::new());
        Wait {
            who,
            says,
            since: Duration::ZERO,
            times: 1,
            heard: 0,
            at: None,
        }
    }
}

/// What is waited for.
#[derive(Debug)]
pub(crate) struct Sayings {
    begun: Instant,
    /// The sites of senders, where there are several. Keepers bear theirs in their names.
    sites: BTreeMap<String, String>,
    waits: Mutex<Vec<Wait>>,
}

impl Sayings {
    /// Counted from now on.
    pub fn new(waits: Vec<Wait>, sites: BTreeMap<String, String>) -> Sayings {
        Sayings {
            begun: Instant::now(),
            sites,
            waits: Mutex::new(waits),
        }
    }

    /// Whether this process is meant.
    fn is_meant(&self, who: &str, name: &str) -> bool {
        let is_keeper = name
            .rsplit('/')
            .next()
            .is_some_and(|name| name.starts_with('k'));
        match who.split_once('/') {
            _ if who == name => true,
            Some((site, "senders")) => self.sites.get(name).is_some_and(|s| s == site),
            Some((site, "keepers")) => {
                is_keeper && name.split_once('/').is_some_and(|(s, _)| s == site)
            }
            Some(_) => false,
            None => who == "keepers" && is_keeper || who == "senders" && !is_keeper,
        }
    }

    /// All, as they stand.
    pub fn waits(&self) -> MutexGuard<'_, Vec<Wait>> {
        self.waits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A process logs a line.
    pub fn hear(&self, name: &str, line: &str) {
        let now = Instant::now();
        for wait in self.waits().iter_mut() {
            let meant = self.is_meant(&wait.who, name);
            if !meant || !line.contains(&wait.says) || now.duration_since(self.begun) < wait.since {
                continue;
            }
            wait.heard += 1;
            if wait.heard == wait.times {
                wait.at = Some((now, name.to_string()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_counts_for_those_who_wait_for_it_from_whom_and_since_when_it_is_wanted() {
        let wait = |who: &str, since, times| Wait {
            who: who.into(),
            says: "zone b left".into(),
            since: Duration::from_secs(since),
            times,
            heard: 0,
            at: None,
        };
        let sites = [("n0", "north"), ("n2", "south")].map(|(n, s)| (n.to_string(), s.to_string()));
        let waits = vec![
            wait("senders", 0, 2),
            wait("n1", 0, 1),
            wait("keepers", 0, 1),
            wait("senders", 3_600, 1),
            wait("south/senders", 0, 1),
            wait("north/keepers", 0, 2),
            wait("north/k2", 0, 2),
        ];
        let said = Sayings::new(waits, sites.into());
        for (name, line) in [
            ("n0", "zone b left by"),
            ("n1", "zone a left"),
            ("n2", "INFO zone b left"),
        ] {
            said.hear(name, line);
        }
        let waits = said.waits().clone();
        assert_eq!(
            waits.iter().map(|w| w.heard).collect::<Vec<_>>(),
            [2, 0, 0, 0, 1, 0, 0]
        );
        assert_eq!(
            waits[0].at.as_ref().map(|(_, name)| name.as_str()),
            Some("n2")
        );
        assert!(waits[1..4].iter().all(|w| w.at.is_none()));
        for name in ["north/k1", "south/k2", "north/k2"] {
            said.hear(name, "zone b left");
        }
        let heard: Vec<usize> = said.waits().iter().map(|w| w.heard).collect();
        assert_eq!(heard, [2, 0, 3, 0, 1, 2, 1]);
    }
}
