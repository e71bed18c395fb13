//! What an error of a socket says, by what Linux documents of accept(2), socket(2) and connect(2).

use rustix::io::Errno;
use std::io;

fn errno(e: &io::Error) -> Option<Errno> {
    e.raw_os_error().map(Errno::from_raw_os_error)
}

/// Whether there is no descriptor left in this process: it can only give one up.
pub fn is_out_of_descriptors(e: &io::Error) -> bool {
    errno(e) == Some(Errno::MFILE)
}

/// Whether it is this machine that cannot open a connection for a moment: it says nothing of the
/// other side. A process without descriptors is none of these: it has too many calls out, and has
/// to go slower.
pub fn is_local(e: &io::Error) -> bool {
    matches!(
        errno(e),
        Some(
            Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NOSPC
                | Errno::ADDRNOTAVAIL
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::INTR
        )
    )
}

/// Whether a failed accept was about that one connection, which is gone: the next one may be
/// accepted at once.
pub fn is_of_one_connection(e: &io::Error) -> bool {
    matches!(
        errno(e),
        Some(
            Errno::CONNABORTED
                | Errno::CONNRESET
                | Errno::INTR
                | Errno::PROTO
                | Errno::PERM
                | Errno::TIMEDOUT
                | Errno::NETDOWN
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
        )
    )
}

#[cfg(test)]
mod tests;
