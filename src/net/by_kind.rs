//! Which wire a provider speaks is a matter of its kind.

use super::calls::Calls;
use super::mqtt::brokers::Publisher;
use super::platform::providers::Poster;
use crate::delivery::endpoint::Endpoint;
use crate::delivery::{AttemptReport, AttemptRequest, EndpointClient, LocalBoxFuture};
use futures_lite::FutureExt;
use std::rc::Rc;

/// Calls providers, each by its own wire.
pub struct ByKind {
    /// Those that speak HTTP: all but brokers.
    pub posters: Rc<Calls<Poster>>,
    /// Brokers, and the kinds that are.
    pub brokers: Option<(Rc<Calls<Publisher>>, Vec<String>)>,
}

impl ByKind {
    /// Connections that are kept idle.
    pub fn idle(&self) -> usize {
        self.posters.idle()
            + self
                .brokers
                .as_ref()
                .map_or(0, |(brokers, _)| brokers.idle())
    }

    /// So many connections are kept idle at the most; both wires together keep what there is for
    /// it.
    pub fn keep_at_most(&self, most: usize) {
        match &self.brokers {
            Some((brokers, _)) => {
                self.posters.keep_at_most(most / 2);
                brokers.keep_at_most(most / 2);
            }
            None => self.posters.keep_at_most(most),
        }
    }

    /// Closes connections as they get old; runs for ever.
    pub async fn sweep(&self) {
        match &self.brokers {
            Some((brokers, _)) => self.posters.sweep().or(brokers.sweep()).await,
            None => self.posters.sweep().await,
        }
    }

    fn invoker(&self, provider: &Endpoint) -> &dyn EndpointClient {
        match &self.brokers {
            Some((brokers, kinds)) if kinds.contains(&provider.entry.kind) => &**brokers,
            _ => &*self.posters,
        }
    }
}

impl EndpointClient for ByKind {
    fn execute<'a>(&'a self, call: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport> {
        self.invoker(&call.endpoint).execute(call)
    }

    fn close_idle(&self, provider: &Endpoint) {
        self.invoker(provider).close_idle(provider);
    }
}
