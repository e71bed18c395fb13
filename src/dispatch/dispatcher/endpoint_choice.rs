//! Choice of the endpoint for a message.
//!
//! Decides: the endpoint for the next call of a destination, or the earliest time at which one may
//! become available without a further event. Inputs: the message's route, health, rate controllers
//! and quotas of the endpoints, fees of zones. Caller: [`super::sending`].

use super::capacity::SlowStartBudget;
use super::*;
use crate::dispatch::endpoint_health::{Health, INITIAL_LATENCY_SECONDS};
use crate::dispatch::rate_control::{QuotaOffer, LOW_CONFIDENCE};
use crate::dispatch::rate_quota::{weighted_random_key, RateQuota};
use crate::dispatch::statistics::{blend, from_secs, MS};

/// Cost of a call for each whole priority weight of a route's fee, in seconds.
const FEE_COST_SECONDS: f64 = 20.0;
/// Added to the cost of a trial, in seconds, so that a healthy endpoint is chosen first.
const TRIAL_COST_SECONDS: f64 = 100.0;
/// Weight of the share of failing calls in the cost.
const FAILURE_COST_FACTOR: f64 = 3.0;

/// Requirements of a message on its endpoint.
pub(super) struct SendRequirement<'a> {
    /// The zone in which repeats of the message are discarded, if it may have run.
    pub zone: Option<u16>,
    /// Whether the message may take effect more than once.
    pub is_repeatable: bool,
    /// The message's route, where there are routes.
    pub route: Option<RouteMatch<'a>>,
}

/// An endpoint to which the message may be sent now.
pub(super) struct EndpointChoice {
    pub endpoint: EndpointAddress,
    /// Whether it is ejected, so that the send is a trial.
    pub is_trial: bool,
    /// Rank of its zone on the route; the lowest is preferred.
    rank: u16,
    /// Cost, in seconds of latency or as a random key; the lowest is preferred.
    cost: f64,
}

impl EndpointChoice {
    fn is_better_than(&self, other: &EndpointChoice) -> bool {
        (self.rank, self.cost) < (other.rank, other.cost)
    }
}

/// Whether an endpoint may be sent the message, and from when on.
enum Availability {
    Available(EndpointChoice),
    /// Not before this time, without a further event.
    OpensAt(Nanos),
    /// Not without a further event.
    Excluded,
}

/// Values that are the same for all endpoints of a destination in one choice.
struct ChoiceContext<'a> {
    dest: DestinationId,
    requirement: &'a SendRequirement<'a>,
    /// Latency of an endpoint that has not answered yet, in seconds.
    usual_latency: f64,
    /// Number of quotas that this sender may use on each route.
    quota_multiplier: f64,
}

/// Limits of an endpoint's rate controller on the next call.
struct RateState {
    /// Time at which pause and rate allow the next call.
    next_call_at: Nanos,
    has_quota: bool,
    /// Rate in the list, in calls per second.
    listed_rate: f64,
    /// Uniform random number from 0 to 1 where the endpoint has a quota; otherwise 0.
    draw: f64,
    consecutive_rejections: f64,
    confidence: f64,
}

impl Dispatcher {
    /// Returns the best endpoint for a message now; otherwise the earliest time at which one may
    /// become available without a further event.
    pub(super) fn choose_endpoint(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        requirement: &SendRequirement,
    ) -> Result<EndpointChoice, Nanos> {
        let context = ChoiceContext {
            dest,
            requirement,
            usual_latency: self.usual_latency(dest),
            quota_multiplier: self
                .traffic_share
                .quota_multiplier(now, self.settings.senders),
        };
        let mut best: Option<EndpointChoice> = None;
        let mut opens_at = Nanos::MAX;
        for endpoint in self.destinations[&dest].endpoints.clone() {
            match self.availability(now, endpoint, &context) {
                Availability::Available(choice) => {
                    if best.as_ref().is_none_or(|best| choice.is_better_than(best)) {
                        best = Some(choice);
                    }
                }
                Availability::OpensAt(at) => opens_at = opens_at.min(at),
                Availability::Excluded => {}
            }
        }
        best.ok_or(opens_at)
    }

    /// Returns the mean latency of the destination's endpoints that have answered, in seconds.
    fn usual_latency(&self, dest: DestinationId) -> f64 {
        let mut count = 0.0;
        let mut sum = 0.0;
        for endpoint in &self.destinations[&dest].endpoints {
            let endpoint = &self.endpoints[endpoint];
            if endpoint.peak_throughput > 0.0 {
                count += 1.0;
                sum += endpoint.latency;
            }
        }
        if count > 0.0 {
            sum / count
        } else {
            INITIAL_LATENCY_SECONDS
        }
    }

    fn availability(
        &mut self,
        now: Nanos,
        address: EndpointAddress,
        context: &ChoiceContext,
    ) -> Availability {
        let requirement = context.requirement;
        let Some(rank) = self.route_rank(&self.endpoints[&address], requirement) else {
            return Availability::Excluded;
        };
        let budget = self.call_budget(now, context.dest, &address);
        let rate = self.rate_state(now, &address, context);
        let mut opens_at = rate.next_call_at;
        if budget.calls < 1.0 {
            let wait = from_secs((1.0 - budget.calls) / budget.rate);
            opens_at = opens_at.max(now + MS + wait);
        }
        let endpoint = &self.endpoints[&address];
        let is_trial = endpoint.health == Health::Ejected;
        if is_trial {
            opens_at = opens_at.max(endpoint.trial_at);
        }
        if opens_at > now {
            return Availability::OpensAt(opens_at);
        }
        let excludes_trial = !requirement.is_repeatable && rate.confidence > LOW_CONFIDENCE;
        if is_trial && (endpoint.calls_in_flight > 0 || excludes_trial) {
            return Availability::Excluded;
        }
        let cost = self.endpoint_cost(endpoint, &rate, context.usual_latency);
        let trial_cost = if is_trial { TRIAL_COST_SECONDS } else { 0.0 };
        Availability::Available(EndpointChoice {
            endpoint: address,
            is_trial,
            rank,
            cost: trial_cost + cost,
        })
    }

    /// Updates the rate controller of an endpoint, and returns its limits.
    fn rate_state(
        &mut self,
        now: Nanos,
        address: &EndpointAddress,
        context: &ChoiceContext,
    ) -> RateState {
        let listed_rate = self.listed_rate(address);
        let quota =
            RateQuota::for_sender(listed_rate, self.settings.senders, self.longest_deadline);
        let draw = match quota {
            Some(_) => self.random.draw(),
            None => 0.0,
        };
        let offer = QuotaOffer {
            quota,
            multiplier: context.quota_multiplier,
            initial_tokens: quota.map_or(draw, |quota| quota.initial_tokens(draw)),
            hold_burst: self.has_resumed,
        };
        let controller = self.controller(context.dest, address);
        controller.offer_quota(now, &offer);
        let confidence = controller.confidence(now);
        controller.refill(now);
        RateState {
            next_call_at: controller.next_call_at(now),
            has_quota: quota.is_some(),
            listed_rate,
            draw,
            consecutive_rejections: f64::from(controller.consecutive_rejections),
            confidence,
        }
    }

    /// Returns the rank of an endpoint for a message; none where the message may not go there.
    fn route_rank(&self, endpoint: &EndpointState, requirement: &SendRequirement) -> Option<u16> {
        let in_zone = requirement.zone.is_none_or(|zone| zone == endpoint.zone);
        if !endpoint.is_ready || !in_zone {
            return None;
        }
        let rank = match requirement.route {
            Some(route) => route.rank(endpoint.zone)?,
            None => 0,
        };
        // Attempts are leased to an evacuated zone on behalf of all senders, to find out whether it
        // has recovered, and are made first.
        let is_leased = endpoint.listed_rate >= f64::from(LEASED_RATE);
        Some(if is_leased { 0 } else { rank })
    }

    /// Returns the slow-start budget of an endpoint; a whole call for a healthy one.
    fn call_budget(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        address: &EndpointAddress,
    ) -> SlowStartBudget {
        if self.endpoints[address].health == Health::Healthy {
            return SlowStartBudget {
                calls: 1.0,
                rate: 1.0,
            };
        }
        self.slow_start_budget(now, dest, address)
    }

    /// Returns the cost of a call, in seconds of latency, or as a random key where the endpoint has
    /// a quota.
    fn endpoint_cost(&self, endpoint: &EndpointState, rate: &RateState, usual_latency: f64) -> f64 {
        let after_rejections = 1.0 + rate.consecutive_rejections;
        if rate.has_quota {
            // Otherwise all senders would choose the same endpoint, as each sees only its own few
            // calls.
            return weighted_random_key(rate.listed_rate / after_rejections, rate.draw);
        }
        let penalty = (1.0 + FAILURE_COST_FACTOR * endpoint.failure_share) * after_rejections;
        let latency = if endpoint.peak_throughput > 0.0 {
            endpoint.latency
        } else {
            usual_latency
        };
        let preference = blend(rate.confidence, 1.0, endpoint.preference);
        let latency = latency * preference * penalty;
        (f64::from(endpoint.calls_in_flight) + 1.0) * latency
            + FEE_COST_SECONDS * self.fee(endpoint)
    }

    /// Returns the fee of a route, taken off the weight of each message; none where endpoints share
    /// one limit.
    ///
    /// The fee applies in full while at least half the calls are free: a cheap but slower route
    /// occupies the call that the next message needs.
    fn fee(&self, endpoint: &EndpointState) -> f64 {
        let kind = self.settings.kinds.get(endpoint.kind);
        if !kind.is_some_and(|kind| kind.separate_routes) {
            return 0.0;
        }
        let Some(fee) = self.settings.zone_fees.get(usize::from(endpoint.zone)) else {
            return 0.0;
        };
        let all = f64::from(self.settings.max_in_flight_calls.max(1));
        let free = 1.0 - self.calls.len() as f64 / all;
        fee * (2.0 * free).clamp(0.0, 1.0)
    }
}
