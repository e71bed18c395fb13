use super::*;

fn of(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn a_shortage_of_this_machine_is_told_from_a_fault_of_the_other_side() {
    for errno in [
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
    ] {
        assert!(is_local(&of(errno)), "{errno}");
    }
    for errno in [
        Errno::MFILE,
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
    ] {
        assert!(!is_local(&of(errno)), "{errno}");
    }
    assert!(!is_local(&io::ErrorKind::UnexpectedEof.into()));
}

#[test]
fn a_connection_that_is_gone_keeps_no_other_from_being_accepted() {
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO] {
        assert!(is_of_one_connection(&of(errno)), "{errno}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(!is_of_one_connection(&of(errno)), "{errno}");
    }
}
