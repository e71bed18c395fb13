//! What is to happen at a time, in the order of times; of one time, in the order in which it was
//! put in.

use raildeal::Nanos;
use std::cmp::Ordering;

/// When, its number, and what.
pub(crate) struct At<E>(pub Nanos, pub u64, pub E);

impl<E> PartialEq for At<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl<E> Eq for At<E> {}
impl<E> PartialOrd for At<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for At<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
