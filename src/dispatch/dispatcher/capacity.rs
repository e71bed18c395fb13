//! Limits of this sender's calls to endpoints: rate controllers, listed rates, slow-start budgets,
//! and the calls that a destination may have in flight.
//!
//! Decides: these limits. Inputs: the endpoint list, the settings, and results of calls. Callers:
//! [`super::endpoint_choice`], [`super::sending`] and [`super::attempt_results`].

use super::*;
use crate::dispatch::endpoint_health::Health;
use crate::dispatch::rate_control::RateController;
use crate::dispatch::rate_quota::unobserved_recovery;
use crate::dispatch::slow_start::{warmup_fraction, SlowStartQuota};
use crate::dispatch::statistics::{blend, to_secs, MS};

/// Assumed capacity of a destination, as a multiple of the highest throughput this sender observed:
/// limits leave room over mean traffic.
const HEADROOM: f64 = 1.5;
/// Part of an approximate listed rate that the destination certainly accepts: the rate may be half
/// too high.
const APPROXIMATE_RATE_TRUST: f64 = 1.0 / 1.5;
/// Calls per overload window that all senders together may send to endpoints of unknown capacity.
const MIN_TRIALS_PER_WINDOW: f64 = 4.0;
/// Smallest window and warm-up time, in seconds, against a division by zero.
const MIN_WINDOW_SECONDS: f64 = 0.1;
/// Calls that a destination may have in flight before any was accepted.
const UNPROVEN_CALLS: u32 = 2;
/// Deviations above the mean latency after which a call in flight is late.
const LATE_DEVIATIONS: f64 = 4.0;
/// Least time after which a call in flight is late, in seconds.
const MIN_LATE_SECONDS: f64 = 0.8;

/// Budget of this sender for endpoints that are ejected or in slow start.
pub(super) struct SlowStartBudget {
    /// Calls that may be made now.
    pub calls: f64,
    /// Growth of the budget, in calls per second.
    pub rate: f64,
}

impl Dispatcher {
    /// Returns the key of an endpoint's rate controller: pause and rate are the destination's (no
    /// address), or the endpoint's own where endpoints are separate routes.
    pub(super) fn controller_key(&self, endpoint: &EndpointAddress) -> Option<EndpointAddress> {
        let kind = self.endpoints.get(endpoint)?.kind;
        let kind = self.settings.kinds.get(kind)?;
        kind.separate_routes.then_some(*endpoint)
    }

    /// Returns the rate controller of an endpoint; a new one where there is none.
    pub(super) fn controller(
        &mut self,
        dest: DestinationId,
        endpoint: &EndpointAddress,
    ) -> &mut RateController {
        let key = self.controller_key(endpoint);
        let started_at = self.started_at;
        let controllers = &mut self.queue(dest).controllers;
        controllers
            .entry(key)
            .or_insert_with(|| RateController::new(started_at))
    }

    /// Returns the listed rate of an endpoint, for all senders together, in calls per second; 0
    /// where none is listed.
    pub(super) fn listed_rate(&self, endpoint: &EndpointAddress) -> f64 {
        if self.settings.listed_rates == ListedRates::Absent {
            return 0.0;
        }
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or(0.0, |endpoint| endpoint.listed_rate)
    }

    /// Returns this sender's equal part of a known limit, as reported, otherwise as listed, in
    /// calls per second.
    pub(super) fn fair_rate(
        &mut self,
        dest: DestinationId,
        endpoint: &EndpointAddress,
    ) -> Option<f64> {
        let trust = if self.settings.listed_rates == ListedRates::Approximate {
            APPROXIMATE_RATE_TRUST
        } else {
            1.0
        };
        let reported = self.controller(dest, endpoint).reported_limit;
        let listed = self.listed_rate(endpoint) * trust;
        let limit = [reported, listed]
            .into_iter()
            .find(|limit| *limit > 0.0 && limit.is_finite())?;
        Some(limit / f64::from(self.settings.senders.max(1)))
    }

    /// Returns this sender's quota for endpoints that are ejected or in slow start: its part of
    /// what they accept right after an outage, times the overload factor, grown by the warm-up
    /// since the first success.
    fn slow_start_quota(
        &mut self,
        dest: DestinationId,
        endpoint: &EndpointAddress,
    ) -> SlowStartQuota {
        let key = self.controller_key(endpoint);
        let fair_rate = self.fair_rate(dest, endpoint);
        let settings = &self.settings;
        let window = to_secs(settings.overload_window).max(MIN_WINDOW_SECONDS);
        let warmup = to_secs(settings.slow_start_duration).max(MIN_WINDOW_SECONDS);
        let initial = settings.slow_start_fraction;
        let endpoints = &self.destinations[&dest].endpoints;
        let sharing = if key.is_some() { 1 } else { endpoints.len() };
        let mut rate = 0.0;
        let mut growth = 0.0;
        for address in endpoints {
            let Some(warmed) = self.warmed(&self.endpoints[address], window, warmup) else {
                continue;
            };
            if key.is_some_and(|key| key != *address) {
                continue;
            }
            let full_rate = match fair_rate {
                Some(fair) => fair / sharing as f64,
                None => HEADROOM * self.endpoints[address].peak_throughput,
            };
            rate += settings.overload_factor * warmup_fraction(initial, warmed) * full_rate;
            let warmed_in_window = (window / warmup).min(1.0);
            growth += settings.overload_factor * (1.0 - initial) * warmed_in_window * full_rate;
        }
        let all = window * f64::from(settings.senders.max(1));
        if fair_rate.is_none() {
            rate += MIN_TRIALS_PER_WINDOW / all;
        }
        SlowStartQuota::for_sender(rate * all, growth * all, window, settings.senders)
    }

    /// Returns the part of its warm-up (in seconds) that an endpoint has completed; none for a
    /// healthy one.
    fn warmed(&self, endpoint: &EndpointState, window: f64, warmup: f64) -> Option<f64> {
        let seconds = match endpoint.health {
            Health::Healthy => return None,
            Health::SlowStart => to_secs(self.now - endpoint.warmup_since),
            Health::Ejected => {
                // The assumed recovery is at most one overload window: the more senders, the longer
                // ago each of them called.
                let since_failure = to_secs(self.now - endpoint.failed_at);
                unobserved_recovery(since_failure, self.settings.senders).min(window)
            }
        };
        Some(seconds / warmup)
    }

    /// Updates the slow-start budget of an endpoint, and returns it.
    pub(super) fn slow_start_budget(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        endpoint: &EndpointAddress,
    ) -> SlowStartBudget {
        let quota = self.slow_start_quota(dest, endpoint);
        let controller = self.controller(dest, endpoint);
        let seconds = to_secs(now - controller.slow_start_budget_at);
        controller.slow_start_budget = quota.accrue(controller.slow_start_budget, seconds);
        controller.slow_start_budget_at = now;
        SlowStartBudget {
            calls: controller.slow_start_budget,
            rate: quota.rate,
        }
    }

    /// Draws the remaining slow-start budget of an endpoint that has just been ejected, or is new
    /// beside ejected ones. In a large fleet each rare caller's quota is less than a call: the draw
    /// decides which senders may try first.
    pub(super) fn draw_slow_start_budget(
        &mut self,
        dest: DestinationId,
        endpoint: &EndpointAddress,
    ) {
        let draw = self.random.draw();
        let now = self.now;
        let needs_random_turns = self.slow_start_quota(dest, endpoint).needs_random_turns();
        let controller = self.controller(dest, endpoint);
        let confidence = if needs_random_turns {
            0.0
        } else {
            controller.confidence(now).powi(2)
        };
        let budget = blend(confidence, 1.0, draw);
        controller.slow_start_budget = controller.slow_start_budget.min(budget);
        controller.slow_start_budget_at = now;
    }

    /// Returns the calls that a destination may have in flight: under 3/4 of all, half while it is
    /// impaired; few until it answers.
    pub(super) fn max_calls(&self, queue: &DestinationQueue, is_impaired: bool) -> u32 {
        let controllers = queue.controllers.values();
        let accepted = controllers
            .map(|controller| controller.accepted_calls)
            .fold(queue.accepted_calls, u32::max);
        let all = self.settings.max_in_flight_calls;
        let most = if is_impaired {
            all / 2
        } else {
            (3 * all - 1) / 4
        };
        most.max(1).min(UNPROVEN_CALLS + accepted)
    }

    /// Whether a destination fails or is slow, or is suspected to be: a call has been in flight far
    /// longer than usual.
    pub(super) fn is_impaired(&self, now: Nanos, queue: &DestinationQueue) -> bool {
        let is_late = |call: &InFlightCall| {
            let endpoint = &self.endpoints[&call.endpoint];
            let usual = endpoint.latency + LATE_DEVIATIONS * endpoint.latency_deviation;
            to_secs(now - call.sent_at) > usual.max(MIN_LATE_SECONDS)
                && endpoint.last_answer_at < call.sent_at + MS
        };
        let mut endpoints = queue.endpoints.iter();
        let mut calls = self.calls.values();
        endpoints.any(|endpoint| self.endpoints[endpoint].is_impaired())
            || calls.any(|call| queue.endpoints.contains(&call.endpoint) && is_late(call))
    }
}
