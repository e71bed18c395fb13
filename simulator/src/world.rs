//! What a day is made of, drawn from its file by its seed.

use crate::day::{Bad, Day, LimitKind, Partners, ShapeKind};
use crate::dice::{Dice, For};
use crate::partner::{answer, seconds, Counts, Limit, Manners, Rules, Said, Shape};
use crate::range::Range;
use raildeal::config::platform_settings::Deployment;
use raildeal::{Condition, DestinationId, Listing, Nanos};

/// A partner.
#[derive(Clone, Debug)]
pub struct Dest {
    /// Part of all messages that are for it.
    pub part: f64,
    /// Its endpoints.
    pub endpoints: Vec<u32>,
    /// Whether they are limited apart.
    pub apart: bool,
    /// How its calls go.
    pub manners: Manners,
    /// Connections that each of its endpoints takes.
    pub connections: Option<u32>,
    /// Calls a second that all of it takes.
    pub rate: f64,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Route {
    /// Whose it is.
    pub dest: DestinationId,
    /// Its building.
    pub zone: u16,
    /// Its kind, as the settings number it.
    pub kind: u16,
    /// What limits it: a position in [`World::limits`].
    pub limit: u32,
    /// As the directory lists it.
    pub condition: Condition,
    /// What the directory says of its rate.
    pub listed: f32,
    /// It answers nothing until then.
    pub hangs: Nanos,
    /// It fails this part of its calls until then.
    pub fails: (Nanos, f64),
}

/// The world of a day.
pub struct World {
    /// The partners.
    pub dests: Vec<Dest>,
    /// Their endpoints.
    pub routes: Vec<Route>,
    /// What limits calls.
    pub limits: Vec<Limit>,
    /// How partners come back and fall over.
    pub rules: Rules,
    /// Buildings.
    pub zones: u16,
    /// The building of each sender.
    pub homes: Vec<u16>,
    /// Parts of the messages up to each partner, for drawing one.
    upto: Vec<f64>,
    /// Messages a second.
    pub rate: f64,
}

impl World {
    /// Draws one.
    pub fn draw(day: &Day, deployment: &Deployment, seed: u64) -> Result<World, Bad> {
        let mut dice = Dice::new(seed, For::World);
        let settings = &deployment.settings;
        let zones = deployment.zones.len().max(1) as u16;
        let mut groups: Vec<&Partners> = Vec::new();
        for group in &day.partners {
            let count = dice.count(group.count);
            groups.extend(std::iter::repeat_n(group, count));
        }
        if groups.len() > usize::from(DestinationId::MAX) {
            let what = format!(
                "{} partners are more than {}",
                groups.len(),
                DestinationId::MAX
            );
            return Err(Bad::Setting {
                setting: "partners.count".into(),
                what,
            });
        }
        // Who is large is drawn anew each day.
        let mut ranks: Vec<usize> = (1..=groups.len()).collect();
        dice.shuffle(&mut ranks);
        let weights: Vec<f64> = groups
            .iter()
            .zip(&ranks)
            .map(|(g, r)| g.weight * (*r as f64).powf(-day.clients.skew))
            .collect();
        let all: f64 = weights.iter().sum();
        let (mut dests, mut routes, mut limits) = (Vec::new(), Vec::new(), Vec::new());
        for (n, (group, weight)) in groups.iter().zip(&weights).enumerate() {
            let kind = deployment
                .kinds
                .iter()
                .position(|k| *k == group.kind)
                .unwrap_or(0);
            let apart = settings.kinds.get(kind).is_some_and(|k| k.separate_routes);
            let part = weight / all;
            let rate =
                (dice.from(group.rate) * part * day.clients.full).max(dice.from(group.rate_least));
            let queue = seconds(dice.from(group.queue_s));
            let count = dice.count(group.endpoints).max(1);
            let each = if apart { rate / count as f64 } else { rate };
            let listed = |dice: &mut Dice| {
                let rough = day.directory.rough.max(1.0);
                let rate = if apart { each } else { rate };
                (rate
                    * rough.powf(dice.from(Range {
                        low: -1.0,
                        high: 1.0,
                    }))) as f32
            };
            let said = listed(&mut dice);
            let first = dice.below(usize::from(zones));
            let counts = || match group.limit {
                LimitKind::Paced => Counts::Paced(0),
                LimitKind::Window => Counts::Window(seconds(group.window_s).max(1), 0, 0),
                LimitKind::Workers => Counts::workers(group.workers),
            };
            if !apart {
                limits.push(Limit::new(rate, queue, counts()));
            }
            let mut endpoints = Vec::new();
            for at in 0..count {
                if apart {
                    limits.push(Limit::new(each, queue, counts()));
                }
                endpoints.push(routes.len() as u32);
                routes.push(Route {
                    dest: n as DestinationId,
                    zone: ((first + at) % usize::from(zones)) as u16,
                    kind: kind as u16,
                    limit: limits.len() as u32 - 1,
                    condition: Condition::Ready,
                    listed: said,
                    hangs: 0,
                    fails: (0, 0.0),
                });
            }
            dests.push(Dest {
                part,
                endpoints,
                apart,
                manners: Manners {
                    tells: dice.from(group.tells),
                    wait: group.wait_s,
                    median: dice.from(group.service_ms) / 1e3,
                    shape: match group.shape {
                        ShapeKind::LogNormal => Shape::LogNormal(group.spread),
                        ShapeKind::Exponential => Shape::Exponential,
                    },
                    errors: dice.from(group.errors),
                },
                connections: group.connections,
                rate,
            });
        }
        let upto = dests
            .iter()
            .scan(0.0, |sum, d| {
                *sum += d.part;
                Some(*sum)
            })
            .collect();
        Ok(World {
            dests,
            routes,
            limits,
            rules: Rules {
                cold_share: settings.slow_start_fraction,
                warm_after: settings.slow_start_duration,
                overload_factor: settings.overload_factor,
                overload_for: settings.overload_window,
            },
            zones,
            homes: (0..day.senders.count)
                .map(|n| (n % usize::from(zones)) as u16)
                .collect(),
            upto,
            rate: day.clients.full * dice.from(day.clients.load),
        })
    }

    /// Draws the partner of a message.
    pub fn dest(&self, dice: &mut Dice) -> DestinationId {
        let at = dice.part() * self.upto.last().copied().unwrap_or(0.0);
        self.upto
            .partition_point(|upto| *upto < at)
            .min(self.dests.len() - 1) as DestinationId
    }

    /// An endpoint's answer to a call that comes now, perhaps from one that saw it fail; nothing if
    /// it hangs. See [`answer`].
    pub fn call(
        &mut self,
        route: u32,
        now: Nanos,
        warned: bool,
        dice: &mut Dice,
    ) -> Option<(Said, Nanos, Option<f64>)> {
        let r = &self.routes[route as usize];
        if now < r.hangs {
            return None;
        }
        let manners = &self.dests[usize::from(r.dest)].manners;
        let errors = if now < r.fails.0 {
            r.fails.1
        } else {
            manners.errors
        };
        let limit = &mut self.limits[r.limit as usize];
        Some(answer(
            limit,
            manners,
            errors,
            &self.rules,
            (now, warned),
            dice,
        ))
    }

    /// Whether an endpoint is out: it refuses all, answers nothing, or fails most calls.
    pub fn is_out(&self, route: u32, now: Nanos) -> bool {
        let r = &self.routes[route as usize];
        let fails = now < r.fails.0 && Limit::is_outage(r.fails.1);
        fails || now < r.hangs || self.limits[r.limit as usize].is_shut(now)
    }

    /// Partners with about this part of the traffic, in any order.
    pub fn share(&self, dice: &mut Dice, share: f64) -> Vec<DestinationId> {
        let mut order: Vec<DestinationId> = (0..self.dests.len() as DestinationId).collect();
        dice.shuffle(&mut order);
        let mut left = share;
        order.retain(|dest| {
            let part = self.dests[usize::from(*dest)].part;
            // The one that would go over is left out, unless it is the first.
            let taken = left > 0.0 && (part <= left * 1.5 || left == share);
            left -= if taken { part } else { 0.0 };
            taken
        });
        order
    }

    /// The largest partners.
    pub fn largest(&self, count: usize) -> Vec<DestinationId> {
        let mut order: Vec<DestinationId> = (0..self.dests.len() as DestinationId).collect();
        order.sort_by(|a, b| {
            let part = |d: &DestinationId| self.dests[usize::from(*d)].part;
            part(b).total_cmp(&part(a))
        });
        order.truncate(count);
        order
    }

    /// A line of the list.
    pub fn listing(&self, route: u32, condition: Condition) -> Listing {
        let r = &self.routes[route as usize];
        Listing {
            endpoint: endpoint(route),
            zone: r.zone,
            kind: r.kind,
            dest: r.dest,
            condition,
            rate: r.listed,
        }
    }
}

/// What the decision module knows an endpoint by.
pub fn endpoint(route: u32) -> raildeal::EndpointAddress {
    raildeal::EndpointAddress {
        addr: route.to_be_bytes(),
        port: 443,
    }
}

/// And back.
pub fn route(endpoint: raildeal::EndpointAddress) -> u32 {
    u32::from_be_bytes(endpoint.addr)
}
