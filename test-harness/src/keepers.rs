//! The keepers of a site as processes, with a line of its own from each to each, and from the
//! senders of each zone and from each other site to each.

use crate::relay::{Fault, Relay};
use crate::sender::{follow, Heard, Log, NoSender, LOGS};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The site, where there is one only.
pub(crate) const SITE: &str = "rig";
/// Before the name of a site that lines come from, and for all that learn by an order where they
/// are; no zone is called so.
const FROM_SITE: &str = "site ";
/// Where those stand who give orders; no zone is called so.
const PEOPLE: &str = "people who order";
/// Megabytes of each keeper's folder.
const DISK_MB: u64 = 20;
/// Runs a program that is told of a write that finds no room, and not ended by it.
const UNENDED: &str = "trap '' XFSZ; exec \"$@\"";

/// A keeper that said that it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Led {
    /// Which, from 0.
    pub keeper: usize,
    /// In which term.
    pub term: u64,
    /// When.
    pub at: Instant,
}

#[derive(Default)]
struct Said {
    /// Who said that it leads, in order of coming.
    led: Vec<Led>,
    /// What any said of policies and tables.
    policies: Vec<(Instant, String)>,
}

/// A keeper.
struct Keeper {
    folder: TempDir,
    child: Option<Child>,
    log: Arc<Log>,
    /// Whether it stands still.
    stopped: bool,
    /// Whether it has begun the site, or is one that is added to it.
    begun: bool,
    /// Whether it may end by itself: it was taken out of the site, or its folder was damaged.
    may_end: bool,
}

/// What is done with a line that a keeper logs.
pub(crate) type Hears = Arc<dyn Fn(usize, &str) + Send + Sync>;

/// The keepers of a site. The first is `k1`, counted from 0 here.
pub struct Keepers {
    program: PathBuf,
    site: String,
    rules: String,
    /// What they are told of the federation that the site is in.
    federation: toml::Table,
    keepers: Vec<Keeper>,
    /// From each keeper to each; the line from one to itself is not there.
    between: Vec<Vec<Option<Arc<Relay>>>>,
    /// From the senders of each zone, from other sites, and at last from the people who give
    /// orders, to each keeper.
    zones: Vec<(String, Vec<Arc<Relay>>)>,
    /// The first keepers of the site; the others are added to it.
    first: usize,
    heard: Option<Hears>,
    said: Arc<Mutex<Said>>,
}

fn said(said: &Mutex<Said>) -> MutexGuard<'_, Said> {
    said.lock().unwrap_or_else(|e| e.into_inner())
}

/// The address behind these words of a line.
fn address(line: &str) -> Option<SocketAddr> {
    line.split_once(": listens at ")?
        .1
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

/// The term that a keeper says it leads in.
fn term(line: &str) -> Option<u64> {
    line.split_once(": leads in term ")?
        .1
        .split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}

/// Cuts the newest file of a folder within what was written.
fn tear(folder: &Path, draw: f64) -> io::Result<()> {
    let mut files = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let file = file?;
        files.push((file.metadata()?.modified()?, file.path()));
    }
    let (_, newest) = files.into_iter().max().ok_or(io::ErrorKind::NotFound)?;
    let written = std::fs::read(&newest)?
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last + 1);
    let file = std::fs::OpenOptions::new().write(true).open(newest)?;
    file.set_len((draw.clamp(0.0, 1.0) * written as f64) as u64)
}

impl Keepers {
    /// So many, and some to be added later, for the senders of these zones, none of them started
    /// yet; `rules` is the text of their table of that name.
    ///
    /// # Errors
    /// A folder or a port is not to be had.
    pub fn new(
        program: &Path,
        (first, spare): (usize, usize),
        zones: &[String],
        rules: &str,
    ) -> Result<Keepers, NoSender> {
        Keepers::of_site(
            program,
            (SITE, &[], Duration::ZERO),
            (first, spare),
            zones,
            rules,
        )
    }

    /// The same for a site of several: its name, those of the others, and what a word from there
    /// needs.
    ///
    /// # Errors
    /// As [`Keepers::new`].
    pub fn of_site(
        program: &Path,
        (site, others, latency): (&str, &[String], Duration),
        (first, spare): (usize, usize),
        zones: &[String],
        rules: &str,
    ) -> Result<Keepers, NoSender> {
        let count = first + spare;
        let failed = |e| NoSender::Io(program.to_path_buf(), e);
        let line = || Relay::open().map(Arc::new).map_err(failed);
        let (mut keepers, mut between) = (Vec::new(), Vec::new());
        for from in 0..count {
            let folder = TempDir::new().map_err(failed)?;
            std::fs::create_dir(folder.path().join("state")).map_err(failed)?;
            let (child, log, begun) = (None, Arc::default(), from >= first);
            keepers.push(Keeper {
                folder,
                child,
                log,
                stopped: false,
                begun,
                may_end: false,
            });
            let lines = (0..count).map(|to| (from != to).then(line).transpose());
            between.push(lines.collect::<Result<Vec<_>, _>>()?);
        }
        // One that is added is known to all by the one address that its order names.
        for added in first..count {
            let one = line()?;
            let others = between
                .iter_mut()
                .enumerate()
                .filter(|(from, _)| *from != added);
            others.for_each(|(_, lines): (usize, &mut Vec<_>)| lines[added] = Some(one.clone()));
        }
        let far = || Relay::far(latency).map(Arc::new).map_err(failed);
        let others = others
            .iter()
            .map(|site| (format!("{FROM_SITE}{site}"), true));
        let from = zones.iter().map(|zone| (zone.clone(), false)).chain(others);
        let from = from.chain([(PEOPLE.to_string(), false)]);
        let zones = from.map(|(from, is_far)| {
            let line = || if is_far { far() } else { line() };
            Ok((from, (0..count).map(|_| line()).collect::<Result<_, _>>()?))
        });
        Ok(Keepers {
            program: program.to_path_buf(),
            site: site.to_string(),
            rules: rules.to_string(),
            federation: toml::Table::new(),
            keepers,
            between,
            zones: zones.collect::<Result<_, NoSender>>()?,
            first,
            heard: None,
            said: Arc::default(),
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.keepers.len()
    }

    /// What a sender that stands in a zone is told.
    pub fn fleet_file(&self, zone: &str, report_ms: u64) -> String {
        let (site, at) = (&self.site, self.reached_from(zone));
        format!("site = {site:?}\nzone = {zone:?}\nkeepers = {at:?}\nreport_ms = {report_ms}\n")
    }

    /// Where all are reached from a zone.
    fn reached_from(&self, zone: &str) -> Vec<String> {
        let lines = self
            .zones
            .iter()
            .find(|(z, _)| z == zone)
            .map(|(_, lines)| lines.as_slice());
        lines
            .unwrap_or(&[])
            .iter()
            .map(|l| l.address.to_string())
            .collect()
    }

    /// Where all are reached from another site.
    pub fn reached_from_site(&self, site: &str) -> Vec<String> {
        self.reached_from(&format!("{FROM_SITE}{site}"))
    }

    /// From their next start on they are told this of the federation that the site is in.
    pub fn in_federation(&mut self, federation: toml::Table) {
        self.federation = federation;
    }

    /// Each line that a keeper logs is handed there, from its next start on.
    pub(crate) fn heard_by(&mut self, heard: Hears) {
        self.heard = Some(heard);
    }

    /// Where one is reached that is to be added.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        self.between
            .iter()
            .find_map(|lines| lines[n].as_ref().map(|line| line.address))
    }

    /// What a person's command is told, who asks this keeper first.
    pub fn orders_file(&self, first: usize) -> String {
        let (mut at, site) = (self.reached_from(PEOPLE), &self.site);
        at.rotate_left(first % self.keepers.len().max(1));
        format!("site = {site:?}\nzone = \"people\"\nkeepers = {at:?}\n")
    }

    fn file(&self, n: usize) -> String {
        let keeper = &self.keepers[n];
        let mut text = format!(
            "site = {:?}\nkeeper = {}\nlisten = \"127.0.0.1:0\"\nstate = {:?}\ndisk_mb = {DISK_MB}\nbegin = {}\n\
             agents = [\"127.0.0.0/8\"]\n",
            self.site,
            n + 1,
            keeper.folder.path().join("state"),
            !keeper.begun
        );
        // The first ones know no others, and learn of them by orders.
        let known = if n < self.first {
            self.first
        } else {
            self.keepers.len()
        };
        for (to, line) in self.between[n].iter().enumerate().take(known) {
            // Writing to a text does not fail.
            let at = line.as_ref().map(|l| l.address);
            let _ = at.map(|at| write!(text, "[[peer]]\nkeeper = {}\nat = \"{at}\"\n", to + 1));
        }
        let federation = [(
            "federation".to_string(),
            toml::Value::Table(self.federation.clone()),
        )];
        let federation =
            (!self.federation.is_empty()).then(|| toml::Table::from_iter(federation).to_string());
        text + &self.rules + "\n" + &federation.unwrap_or_default()
    }

    /// Starts one, and waits for nothing: lines lead to it as soon as it says where it listens. One
    /// that runs is killed.
    ///
    /// # Errors
    /// There is no such program.
    pub fn start(&mut self, n: usize) -> Result<(), NoSender> {
        self.kill(n);
        let failed = |e| NoSender::Io(self.program.clone(), e);
        let file = self.keepers[n].folder.path().join("keeper.toml");
        std::fs::write(&file, self.file(n)).map_err(failed)?;
        let child = Command::new("sh")
            .args(["-c", UNENDED, "sh"])
            .arg(&self.program)
            .arg("keeper")
            .arg(&file)
            .env("RUST_LOG", LOGS)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = child.map_err(failed)?;
        let from_keepers = self.between.iter().filter_map(|lines| lines[n].clone());
        let lines: Vec<Arc<Relay>> = from_keepers
            .chain(self.zones.iter().map(|(_, l)| l[n].clone()))
            .collect();
        let (spoken, heard) = (self.said.clone(), self.heard.clone());
        let hears: Heard = Arc::new(move |line: &str| {
            if let Some(at) = address(line) {
                lines.iter().for_each(|l| l.aim(at));
            }
            if let Some(term) = term(line) {
                said(&spoken).led.push(Led {
                    keeper: n,
                    term,
                    at: Instant::now(),
                });
            }
            heard.iter().for_each(|heard| heard(n, line));
            if line.contains("] policy ") || line.contains("table ") {
                said(&spoken)
                    .policies
                    .push((Instant::now(), line.to_string()));
            }
        });
        let keeper = &mut self.keepers[n];
        keeper.log = follow(&mut child, Some(hears));
        (keeper.child, keeper.begun, keeper.stopped) = (Some(child), true, false);
        Ok(())
    }

    /// Kills one; its folder stays.
    pub fn kill(&mut self, n: usize) {
        let keeper = &mut self.keepers[n];
        if let Some(mut child) = keeper.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        (keeper.log, keeper.stopped) = (Arc::default(), false);
    }

    /// Stops one for a while, or lets it go on.
    pub fn stopped(&mut self, n: usize, stopped: bool) {
        let keeper = &mut self.keepers[n];
        let pid = keeper
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        // One that is gone has stopped for good.
        let _ = pid.map(|pid| kill_process(pid, if stopped { Signal::STOP } else { Signal::CONT }));
        keeper.stopped = stopped && pid.is_some();
    }

    /// The folder of one that does not run is lost.
    ///
    /// # Errors
    /// It cannot be emptied.
    pub fn lose_folder(&mut self, n: usize) -> Result<(), NoSender> {
        let state = self.keepers[n].folder.path().join("state");
        let lost = std::fs::remove_dir_all(&state).and_then(|()| std::fs::create_dir(&state));
        lost.map_err(|e| NoSender::Io(state, e))
    }

    /// The folder of one that does not run begins as at the first start of the site, when it is
    /// started again.
    pub fn begins_anew(&mut self, n: usize) {
        self.keepers[n].begun = false;
    }

    /// The newest file in the folder of one that does not run ends at a byte that is drawn from
    /// those that were written. It may end by itself from then on.
    ///
    /// # Errors
    /// There is none, or it cannot be cut.
    pub fn tear_folder(&mut self, n: usize, draw: f64) -> Result<(), NoSender> {
        let state = self.keepers[n].folder.path().join("state");
        self.keepers[n].may_end = true;
        tear(&state, draw).map_err(|e| NoSender::Io(state, e))
    }

    /// What one writes from now on finds no room, or does again.
    pub fn full(&mut self, n: usize, full: bool) {
        let pid = self.keepers[n]
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        let limit = Rlimit {
            current: full.then_some(0),
            maximum: None,
        };
        // One that is gone writes nothing.
        let _ = pid.map(|pid| prlimit(Some(pid), Resource::Fsize, limit));
    }

    /// One is to be taken out of the site, and ends by itself then.
    pub fn may_end(&mut self, n: usize) {
        self.keepers[n].may_end = true;
    }

    /// Whether one was taken out of the site, or damaged.
    pub fn is_out(&self, n: usize) -> bool {
        self.keepers[n].may_end
    }

    /// Whether one was started and not killed since.
    pub fn runs(&self, n: usize) -> bool {
        self.keepers[n].child.is_some()
    }

    /// Whether one stands still.
    pub fn is_stopped(&self, n: usize) -> bool {
        self.keepers[n].stopped
    }

    /// Those that ended by themselves.
    pub fn crashed(&mut self) -> usize {
        let ended = |k: &mut Keeper| {
            !k.may_end
                && k.child
                    .as_mut()
                    .is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
        };
        self.keepers
            .iter_mut()
            .filter_map(|k| ended(k).then_some(()))
            .count()
    }

    /// What one logs.
    pub fn log(&self, n: usize) -> Arc<Log> {
        self.keepers[n].log.clone()
    }

    /// All that said that they lead, in order of coming.
    pub fn led(&self) -> Vec<Led> {
        said(&self.said).led.clone()
    }

    /// All that any said of policies and tables, and when.
    pub fn policies(&self) -> Vec<(Instant, String)> {
        said(&self.said).policies.clone()
    }

    /// The one that said so in the highest term, if it still runs.
    pub fn leader(&self) -> Option<usize> {
        let led = said(&self.said)
            .led
            .iter()
            .max_by_key(|l| l.term)
            .map(|l| l.keeper);
        led.filter(|n| self.runs(*n))
    }

    /// The line from one to another has this fault and no other. There is none from one to itself.
    pub fn between(&self, from: usize, to: usize, fault: Fault) {
        self.between[from][to]
            .iter()
            .for_each(|line| line.set(fault));
    }

    /// The lines from another site to all have this fault and no other.
    pub fn from_site(&self, site: &str, fault: Fault) {
        (0..self.keepers.len())
            .for_each(|n| self.from_zone(&format!("{FROM_SITE}{site}"), n, fault));
    }

    /// The line from the senders of a zone to one has this fault and no other.
    pub fn from_zone(&self, zone: &str, to: usize, fault: Fault) {
        self.zones
            .iter()
            .filter(|(z, _)| z == zone)
            .for_each(|(_, lines)| lines[to].set(fault));
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        (0..self.keepers.len()).for_each(|n| self.kill(n));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_of_a_keeper_are_read_and_its_file_names_lines_and_no_keeper() {
        assert_eq!(
            address(
                "[2026-12-02T01:02:03Z INFO  raildeal] keeper 2 of rig: listens at 127.0.0.1:4711"
            ),
            Some(([127, 0, 0, 1], 4711).into())
        );
        assert_eq!(term("keeper 3 of rig: leads in term 12"), Some(12));
        assert_eq!(
            (
                address("keeper 2 listens"),
                term("keeper 3 of rig: follows in term 12")
            ),
            (None, None)
        );
        let zones = ["a".to_string(), "b".to_string()];
        let keepers = Keepers::new(
            Path::new("none"),
            (3, 1),
            &zones,
            "[rules]\nlease_ms = 3000\n",
        )
        .expect("folders");
        let read = |text: String| text.parse::<toml::Table>().expect("TOML");
        let file = read(keepers.file(1));
        let peers: Vec<i64> = file["peer"]
            .as_array()
            .expect("peers")
            .iter()
            .filter_map(|p| p["keeper"].as_integer())
            .collect();
        assert_eq!((peers, file["begin"].as_bool()), (vec![1, 3], Some(true)));
        assert_eq!(file["rules"]["lease_ms"].as_integer(), Some(3_000));
        let (a, b) = (
            read(keepers.fleet_file("a", 200)),
            read(keepers.fleet_file("b", 200)),
        );
        assert_eq!(a["keepers"].as_array().map(Vec::len), Some(4));
        assert_ne!(a["keepers"], b["keepers"]);
        let added = read(keepers.file(3));
        assert_eq!(
            (
                added["peer"].as_array().map(Vec::len),
                added["begin"].as_bool()
            ),
            (Some(3), Some(false))
        );
        assert!(
            keepers.address(3).is_some() && read(keepers.orders_file(0))["keepers"] != a["keepers"]
        );
    }

    #[test]
    fn keepers_of_a_site_are_reached_over_other_lines_from_each_other_site_and_told_of_the_federation(
    ) {
        let (zones, others) = (["a".to_string()], ["north".to_string(), "west".to_string()]);
        let site = ("south", others.as_slice(), Duration::from_millis(1));
        let mut keepers =
            Keepers::of_site(Path::new("none"), site, (2, 0), &zones, "").expect("folders");
        let told = [
            ("name".to_string(), "both".into()),
            ("number".to_string(), 2.into()),
        ];
        keepers.in_federation(told.into_iter().collect());
        let file: toml::Table = keepers.file(0).parse().expect("TOML");
        assert_eq!(
            (
                file["site"].as_str(),
                file["federation"]["number"].as_integer()
            ),
            (Some("south"), Some(2))
        );
        let all = ["north", "west"]
            .map(|site| keepers.reached_from_site(site))
            .concat();
        assert_eq!(
            all.iter().collect::<std::collections::BTreeSet<_>>().len(),
            4
        );
        assert!(!all.iter().any(|at| keepers.orders_file(0).contains(at)));
    }

    #[test]
    fn the_newest_file_is_cut_within_what_was_written() {
        let folder = TempDir::new().expect("a folder");
        let path = |name: &str| folder.path().join(name);
        std::fs::write(path("old"), [1; 100]).expect("written");
        std::thread::sleep(std::time::Duration::from_millis(20));
        std::fs::write(path("new"), [[1; 50], [0; 50]].concat()).expect("written");
        tear(folder.path(), 0.5).expect("cut");
        let size = |name: &str| std::fs::metadata(path(name)).expect("there").len();
        assert_eq!((size("old"), size("new")), (100, 25));
    }
}
