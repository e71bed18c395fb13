//! What a replica does before it takes part in the group: it meets the others and writes down whom
//! it knows.

use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{LogItem, SaveError};
use crate::coordination::replica::{draw, Replica, Stage, RESOURCE_RETRY_DELAY};

impl Replica {
    /// Writes down what an empty folder begins with.
    pub(super) async fn begin(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else {
            return self.work();
        };
        let piece = LogItem::Checkpoint(Box::new(begin.checkpoint().clone()));
        self.save_now(piece).await?;
        // One that is alone waits for nobody.
        self.form_group().await?;
        if let Stage::Begins(begin) = &self.stage {
            log::info!(
                "{}: begins when it and keepers {:?} know each other",
                self.who(),
                begin.missing()
            );
        }
        self.work()
    }

    /// Writes something down while nothing else goes on: before this keeper takes part.
    async fn save_now(&mut self, mut piece: LogItem) -> Result<(), String> {
        loop {
            self.keep.start_job(piece).map_err(|_| "the log is lent")?;
            let (back, result) = self
                .keep
                .finished()
                .await
                .map_err(|e| format!("state: {e}"))?;
            match result {
                Ok(()) => return Ok(()),
                Err(SaveError::Retryable(e)) => log::warn!("{}: not written yet: {e}", self.who()),
                Err(e) => return Err(format!("state: {e}")),
            }
            piece = back;
            self.context.wheel.sleep(RESOURCE_RETRY_DELAY).await;
        }
    }

    /// Writes down whom it knows.
    pub(super) async fn save_known_replicas(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else {
            return Ok(());
        };
        self.save_now(LogItem::Checkpoint(Box::new(begin.checkpoint().clone())))
            .await
    }

    /// Takes part, when all know each other.
    pub(super) async fn form_group(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else {
            return Ok(());
        };
        let peers = self
            .config
            .peers
            .iter()
            .map(|(id, at)| (*id, at.to_string()));
        let at = peers
            .chain([(self.config.replica, self.config.listen.to_string())])
            .collect();
        if let Some(base) = begin.finish(&at) {
            log::info!("{}: all keepers know each other, begins", self.who());
            let group = RaftGroup::new(base, draw()).map_err(|e| e.to_string())?;
            self.stage = Stage::Takes(Box::new(group));
        }
        Ok(())
    }
}
