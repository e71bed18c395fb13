//! What keeps other replicas and sites from taking part: logged when it begins, and shown in the
//! status for as long as it lasts.

use crate::coordination::replica::{Replica, Stage, CONFLICT_LASTS};
use std::time::Instant;

/// Most of that which is held at once: numbers of keepers that others only claim count, too.
const MOST_CONFLICTS: usize = 64;

/// Why two keepers with a connection between them do not take part in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Conflict {
    /// One that came in this one's name is refused.
    Came,
    /// What answers at its address is another one.
    Answers,
    /// It refuses this one.
    Shut,
    /// The same between two sites.
    SiteCame,
    /// See above.
    SiteAnswers,
    /// See above.
    SiteShut,
}

impl Replica {
    /// Two keepers cannot go together: told when it begins, and in the status for as long as it
    /// lasts.
    pub(super) fn is_new_conflict(&mut self, number: u64, how: Conflict, why: &str) -> bool {
        let now = Instant::now();
        self.wrong
            .retain(|_, (at, _)| now.duration_since(*at) < CONFLICT_LASTS);
        if self.wrong.len() >= MOST_CONFLICTS && !self.wrong.contains_key(&(number, how)) {
            return false;
        }
        let told = self.wrong.insert((number, how), (now, why.into()));
        told.is_none_or(|(_, before)| before != why)
    }

    pub(super) fn note_conflict(&mut self, keeper: u64, how: Conflict, why: &str) {
        if !self.is_new_conflict(keeper, how, why) {
            return;
        }
        let (who, at) = (
            self.who(),
            self.outgoing
                .get(&keeper)
                .map(|o| o.at.to_string())
                .unwrap_or_default(),
        );
        match how {
            Conflict::Came => log::error!("{who}: refuses keeper {keeper}: {why}"),
            Conflict::Answers => {
                log::error!("{who}: refuses what answers as keeper {keeper} at {at}: {why}")
            }
            _ => log::warn!("{who}: keeper {keeper} at {at} does not hear it: {why}"),
        }
    }

    /// What keeps other keepers from taking part, as far as this one knows.
    pub(super) fn trouble(&self) -> Vec<(u64, String)> {
        let mut told: Vec<(u64, String)> = Vec::new();
        for ((keeper, how), (at, why)) in &self.wrong {
            if at.elapsed() < CONFLICT_LASTS {
                let what = match how {
                    Conflict::Came => "refused as it came",
                    Conflict::Answers => "refused as it answered",
                    Conflict::Shut => "does not hear this keeper",
                    Conflict::SiteCame => "as a site: refused as it came",
                    Conflict::SiteAnswers => "as a site: refused as it answered",
                    Conflict::SiteShut => "as a site: does not hear this one",
                };
                told.push((*keeper, format!("{what}: {why}")));
            }
        }
        for (keeper, o) in &self.outgoing {
            let why = o.reach.why.borrow();
            if !o.reach.up.get() && !why.is_empty() {
                told.push((*keeper, format!("not reached at {}: {why}", o.at)));
            }
        }
        let (left, what) = match &self.stage {
            Stage::Begins(begin) => (begin.missing(), "not met yet: the site has not begun"),
            Stage::Takes(group) => (group.voters_without_record(), "has not got the record yet"),
        };
        told.extend(left.into_iter().map(|keeper| (keeper, what.into())));
        told.extend(self.site_trouble());
        told.sort();
        told
    }
}
