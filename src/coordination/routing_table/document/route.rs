//! Routes compared with each other: which is more specific, what each is for, and how people are
//! told of one.

use crate::coordination::routing_table::document::{DestinationRange, Route};

/// Sorts the more specific route before the less specific one: by what a route leaves open.
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

    /// What it is for, as a key to sort by: no two routes of a table are for the same.
    pub(super) fn scope(&self) -> impl Ord {
        (
            self.dests.clone(),
            self.classes.clone(),
            self.tenants.clone(),
        )
    }

    /// What it is for, in words.
    pub(super) fn scope_name(&self) -> String {
        let destinations = match &self.dests {
            Some(ranges) => format!("destinations {}", joined(ranges)),
            None => "all destinations".into(),
        };
        let classes = named_scope("classes", self.classes.as_deref());
        let tenants = named_scope("tenants", self.tenants.as_deref());
        format!("route for {destinations}{classes}{tenants}")
    }

    /// The route, for those who have its text before them.
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

    /// A message that both routes are for, where neither is more specific, in words.
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

/// Several in one line, with blanks between them.
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
