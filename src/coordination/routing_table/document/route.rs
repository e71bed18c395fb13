//! Comparison of routes: which one is more specific, which messages each matches, and how a route
//! is named in texts for operators.

use crate::coordination::routing_table::document::{DestinationRange, Route};

/// Sort key that puts a more specific route before a less specific one, by the properties that a
/// route leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Specificity {
    all_destinations: bool,
    all_classes: bool,
    all_tenants: bool,
}

impl Route {
    pub(super) fn specificity(&self) -> Specificity {
        Specificity {
            all_destinations: self.dests.is_none(),
            all_classes: self.classes.is_none(),
            all_tenants: self.tenants.is_none(),
        }
    }

    /// Returns the messages that the route matches, as a sort key. No two routes of a table have
    /// the same key.
    pub(super) fn scope(&self) -> impl Ord {
        (
            self.dests.clone(),
            self.classes.clone(),
            self.tenants.clone(),
        )
    }

    /// Returns a description of the messages that the route matches.
    pub(super) fn scope_name(&self) -> String {
        let destinations = match &self.dests {
            Some(ranges) => format!("destinations {}", joined(ranges)),
            None => "all destinations".into(),
        };
        let classes = named_scope("classes", self.classes.as_deref());
        let tenants = named_scope("tenants", self.tenants.as_deref());
        format!("route for {destinations}{classes}{tenants}")
    }

    /// Returns a name of the route for readers of the table's text.
    pub(super) fn name_in_text(&self) -> String {
        match self.line {
            Some(line) => format!("its route in line {line}"),
            None => self.scope_name(),
        }
    }

    pub(super) fn is_for(&self, dest: u16, class: &str, tenant: u16) -> bool {
        let names_dest = |ranges: &[DestinationRange]| ranges.iter().any(|r| r.contains(dest));
        let names_class = |classes: &[String]| classes.iter().any(|c| c == class);
        self.dests.as_deref().is_none_or(names_dest)
            && self.classes.as_deref().is_none_or(names_class)
            && self.tenants.as_ref().is_none_or(|t| t.contains(&tenant))
    }

    /// Returns a description of a message that both routes match, if neither route is more
    /// specific.
    pub(super) fn conflict_with(&self, other: &Route) -> Option<String> {
        if self.specificity() != other.specificity() {
            return None;
        }
        let mut message = Vec::new();
        if let Some(ranges) = &self.dests {
            let others = other.dests.as_deref().unwrap_or_default();
            let dest = first_common_destination(ranges, others)?;
            message.push(format!("destination {dest}"));
        }
        if let Some(classes) = &self.classes {
            let class = first_common(classes, other.classes.as_deref())?;
            message.push(format!("class {class}"));
        }
        if let Some(tenants) = &self.tenants {
            let tenant = first_common(tenants, other.tenants.as_deref())?;
            message.push(format!("tenant {tenant}"));
        }
        if message.is_empty() {
            return Some("all messages".into());
        }
        Some(message.join(", "))
    }
}

fn named_scope<T: ToString>(what: &str, names: Option<&[T]>) -> String {
    match names {
        Some(names) => format!(", {what} {}", joined(names)),
        None => String::new(),
    }
}

/// Joins values with spaces.
fn joined<T: ToString>(all: &[T]) -> String {
    let all: Vec<String> = all.iter().map(T::to_string).collect();
    all.join(" ")
}

fn first_common<'a, T: PartialEq>(names: &'a [T], others: Option<&[T]>) -> Option<&'a T> {
    let others = others.unwrap_or_default();
    names.iter().find(|name| others.contains(name))
}

fn first_common_destination(
    ranges: &[DestinationRange],
    others: &[DestinationRange],
) -> Option<u16> {
    ranges.iter().find_map(|range| {
        let other = others.iter().find(|other| range.overlaps(other))?;
        Some(range.first.max(other.first))
    })
}
