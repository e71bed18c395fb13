//! Formation of the group: before a replica takes part, it meets the other replicas and saves their
//! incarnations.

use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{LogItem, SaveError};
use crate::coordination::replica::{random_u64, Replica, Stage, RESOURCE_RETRY_DELAY};

impl Replica {
    /// Saves the first checkpoint of an empty folder, and starts work.
    pub(super) async fn begin(&mut self) -> Result<(), String> {
        let Stage::Bootstrapping(bootstrap) = &self.stage else {
            return self.process_pending();
        };
        let item = LogItem::Checkpoint(Box::new(bootstrap.checkpoint().clone()));
        self.save_now(item).await?;
        // A replica without peers has nobody to wait for.
        self.form_group().await?;
        if let Stage::Bootstrapping(bootstrap) = &self.stage {
            log::info!(
                "{}: waits to begin until it and keepers {:?} know each other",
                self.log_prefix(),
                bootstrap.missing()
            );
        }
        self.process_pending()
    }

    /// Saves an item and waits for the result, with retries. Used only before this replica takes
    /// part, when no other work is pending.
    async fn save_now(&mut self, mut item: LogItem) -> Result<(), String> {
        loop {
            self.log_store
                .start_job(item)
                .map_err(|_| "the log store is already in use")?;
            let (back, result) = self
                .log_store
                .finished()
                .await
                .map_err(|e| format!("state: {e}"))?;
            match result {
                Ok(()) => return Ok(()),
                Err(SaveError::Retryable(e)) => {
                    log::warn!("{}: write failed, will be retried: {e}", self.log_prefix())
                }
                Err(e) => return Err(format!("state: {e}")),
            }
            item = back;
            self.context.wheel.sleep(RESOURCE_RETRY_DELAY).await;
        }
    }

    /// Saves the incarnations of the replicas that this one has met.
    pub(super) async fn save_known_replicas(&mut self) -> Result<(), String> {
        let Stage::Bootstrapping(bootstrap) = &self.stage else {
            return Ok(());
        };
        self.save_now(LogItem::Checkpoint(Box::new(
            bootstrap.checkpoint().clone(),
        )))
        .await
    }

    /// Joins the group once all replicas know each other.
    pub(super) async fn form_group(&mut self) -> Result<(), String> {
        let Stage::Bootstrapping(bootstrap) = &self.stage else {
            return Ok(());
        };
        let peers = self
            .config
            .peers
            .iter()
            .map(|(id, at)| (*id, at.to_string()));
        let addresses = peers
            .chain([(self.config.replica, self.config.listen.to_string())])
            .collect();
        if let Some(checkpoint) = bootstrap.finish(&addresses) {
            log::info!("{}: all keepers know each other, begins", self.log_prefix());
            let group = RaftGroup::new(checkpoint, random_u64()).map_err(|e| e.to_string())?;
            self.stage = Stage::InGroup(Box::new(group));
        }
        Ok(())
    }
}
