//! Reads the path=value settings of the wire. Unknown keys are skipped; no decision is made here.

use raildeal::{Class, Decay, DedupScope, Effect, Kind, ListedRates, Settings, Tenant};
use std::collections::BTreeMap;
use std::str::FromStr;

struct Env<'a>(BTreeMap<&'a str, &'a str>);

impl Env<'_> {
    fn get<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(v) => v.parse().map_err(|_| format!("setting {key}: cannot read '{v}'")),
        }
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.0.get(key).filter(|v| !v.is_empty()).map_or(Vec::new(), |v| v.split(',').collect())
    }

    /// Items of a list of objects; bounded by the keys that are there, whatever the count claims.
    fn items<T>(&self, name: &str, read: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
        let count: usize = self.get(&format!("{name}.count"), 0)?;
        if count > self.0.len() {
            return Err(format!("setting {name}.count: {count} items are not there"));
        }
        (0..count).map(|i| read(&format!("{name}.{i}"))).collect()
    }

    fn column(&self, name: &str) -> Option<usize> {
        self.list("stats.columns").iter().position(|c| *c == name)
    }
}

pub fn parse(env: &[u8]) -> Result<Settings, String> {
    let text = std::str::from_utf8(env).map_err(|e| format!("settings are not UTF-8: {e}"))?;
    let mut map = BTreeMap::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let (k, v) = line.split_once('=').ok_or_else(|| format!("settings line {}: no '='", n + 1))?;
        map.insert(k, v);
    }
    let env = Env(map);
    let classes = env.items("categories", |p| {
        let effect = match env.0.get(format!("{p}.effect").as_str()).copied() {
            None | Some("side_effect") => Effect::SideEffect,
            Some("pure") => Effect::Pure,
            Some("token") => Effect::Token,
            Some(v) => return Err(format!("setting {p}.effect: unknown '{v}'")),
        };
        let scope = match env.0.get(format!("{p}.dedupScope").as_str()).copied() {
            Some("all") => DedupScope::All,
            _ => DedupScope::Zone,
        };
        Ok(Class {
            aim: env.get(&format!("{p}.promise"), 0)?,
            deadline: env.get(&format!("{p}.deadline"), 0)?,
            effect,
            scope,
            window: env.get(&format!("{p}.window"), 0)?,
            worth: env.get(&format!("{p}.points"), 1.0)?,
            late_worth: env.get(&format!("{p}.lateWorth"), 0.0)?,
            in_order: env.get(&format!("{p}.fifoByKey"), false)?,
        })
    })?;
    let tenants = env.items("accounts", |p| Ok(Tenant { share: env.get(&format!("{p}.share"), 0.0)? }))?;
    let (apart, batch) = (env.list("familyInfo.kindApart"), env.list("familyInfo.kindBatch"));
    let kinds = (0..env.list("kinds").len())
        .map(|i| {
            let size = batch.get(i).map_or(Ok(1), |v| v.parse());
            let size = size.map_err(|_| format!("setting familyInfo.kindBatch: cannot read item {i}"))?;
            Ok(Kind { apart: apart.get(i) == Some(&"true"), batch: size })
        })
        .collect::<Result<_, String>>()?;
    Ok(Settings {
        classes,
        tenants,
        kinds,
        relays: env.get("balancers", 1)?,
        slots: env.get("familyInfo.maxCalls", 0)?,
        room: env.get("limits.openCap", 0)?,
        max_attempts: env.get("limits.maxAttempts", 1)?,
        decay: if env.0.get("familyInfo.losesWorth") == Some(&"halving") {
            Decay::Halving
        } else {
            Decay::Linear
        },
        over_share_worth: env.get("overShareWorth", 1.0)?,
        ask_list: env.0.get("discovery") == Some(&"subscribe"),
        probes: env.get("limits.probes", false)?,
        tells_clients: env.get("limits.retryAfter", false)?,
        max_retry_after: env.get("limits.maxRetryAfter", 0)?,
        cold_share: env.get("rules.coldShare", 1.0)?,
        warm_after: env.get("rules.warmAfter", 0)?,
        overload_factor: env.get("rules.overloadFactor", 1.0)?,
        overload_for: env.get("rules.overloadFor", 0)?,
        order_settle: env.get("rules.orderSettle", 0)?,
        idle_close: env.get("limits.idleClose", 0)?,
        listed: match env.0.get("weights").copied() {
            Some("nominal") => ListedRates::Nominal,
            Some("rough") => ListedRates::Rough,
            _ => ListedRates::Silent,
        },
        report_left: env.column("x0"),
        report_limit: env.column("x1"),
    })
}
