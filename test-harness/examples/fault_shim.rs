//! System calls that fail as a file says: a library that is loaded into a process of the program
//! by `LD_PRELOAD`.
//!
//! It stands before the C library's functions for the wall clock, files and sockets, and passes on
//! what is not to fail. What fails is read from a file that [`CONTROL_VARIABLE`] names, which
//! [`raildeal_test_harness::syscall_faults`] writes.
//!
//! The monotonic clock is never touched, and neither is what the process writes to its log.

use libc::{c_int, c_void, syscall, timespec};
use raildeal_test_harness::syscall_faults::{Field, CONTROL_BYTES, CONTROL_VARIABLE};
use std::ffi::CString;
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering};

const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Where the faults are mapped; null until that is tried, and where there are none.
static CONTROL: AtomicPtr<AtomicI64> = AtomicPtr::new(std::ptr::null_mut());
static DRAWS: AtomicU64 = AtomicU64::new(0);
/// Stands in [`CONTROL`] where there is no file: all numbers are 0.
static NOTHING: [AtomicI64; CONTROL_BYTES / 8] = [const { AtomicI64::new(0) }; CONTROL_BYTES / 8];

fn control() -> *mut AtomicI64 {
    let mapped = CONTROL.load(Ordering::Acquire);
    if !mapped.is_null() {
        return mapped;
    }
    let Some(mapped) = map_control() else {
        let nothing = NOTHING.as_ptr().cast_mut();
        CONTROL.store(nothing, Ordering::Release);
        return nothing;
    };
    CONTROL.store(mapped, Ordering::Release);
    // SAFETY: the mapping was just made, and holds more numbers than there are fields.
    unsafe { &*mapped.add(Field::LoadedBy as usize) }.store(process(), Ordering::Relaxed);
    mapped
}

fn map_control() -> Option<*mut AtomicI64> {
    let name = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: the name ends with a zero byte; the path that comes back is only read.
    unsafe {
        let path = libc::getenv(name.as_ptr());
        if path.is_null() {
            return None;
        }
        let file = libc::open(path, libc::O_RDWR);
        if file < 0 {
            return None;
        }
        let mapped = libc::mmap(
            std::ptr::null_mut(),
            CONTROL_BYTES,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::close(file);
        (mapped != libc::MAP_FAILED).then_some(mapped.cast())
    }
}

/// The number of this process.
fn process() -> i64 {
    // SAFETY: it takes nothing and cannot fail.
    i64::from(unsafe { libc::getpid() })
}

fn field(field: Field) -> &'static AtomicI64 {
    // SAFETY: the mapping holds more numbers than there are fields, and is never undone.
    unsafe { &*control().add(field as usize) }
}

fn value(of: Field) -> i64 {
    field(of).load(Ordering::Relaxed)
}

/// Whether this one of a thousand is meant (splitmix64, Steele, Lea and Flood 2014).
fn draws(permille: Field) -> bool {
    let permille = value(permille);
    if permille <= 0 {
        return false;
    }
    let n = DRAWS.fetch_add(1, Ordering::Relaxed);
    let n = (n ^ value(Field::Seed) as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((n ^ (n >> 31)) % 1000) < permille as u64
}

fn fails(errno: i64) -> isize {
    // SAFETY: the C library's own place for this thread.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

/// Whether a write or sync of a file fails, and with which error.
fn disk_error() -> Option<i64> {
    let errno = value(Field::DiskErrno);
    (errno != 0 && draws(Field::DiskPermille)).then_some(errno)
}

/// Whether the process is to be killed in this write to a file.
fn is_last_write() -> bool {
    let left = field(Field::KillInWrite);
    left.load(Ordering::Relaxed) > 0 && left.fetch_sub(1, Ordering::Relaxed) == 1
}

fn is_regular(file: c_int) -> bool {
    let mut stat = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the place is as large as the C library says, and all zeroes are a value of it.
    let (found, stat) = unsafe {
        (
            libc::fstat(file, stat.as_mut_ptr()) == 0,
            stat.assume_init(),
        )
    };
    found && stat.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// A write to a file, passed on by `write` with the bytes that are to be written.
fn write_file(length: usize, write: impl Fn(usize) -> isize) -> isize {
    if is_last_write() {
        write(length / 2);
        field(Field::KilledInWrite).store(1, Ordering::Relaxed);
        // SAFETY: ends this process, as it was told.
        unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
    }
    if let Some(errno) = disk_error() {
        return fails(errno);
    }
    if length > 1 && draws(Field::ShortWritePermille) {
        return write(length / 2);
    }
    write(length)
}

/// A read or write of a socket, passed on with the bytes that may be used.
fn use_socket(length: usize, call: impl Fn(usize) -> isize) -> isize {
    if draws(Field::InterruptPermille) {
        return fails(libc::EINTR.into());
    }
    if length > 1 && draws(Field::ShortSocketPermille) {
        return call(1);
    }
    call(length)
}

/// Reads a clock; the wall clock is as far ahead as it is told.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let read = unsafe { syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if read == 0 && clock == libc::CLOCK_REALTIME {
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + value(Field::WallClockAheadNs);
        time.tv_sec += nanos.div_euclid(NANOS_PER_SECOND);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    read
}

/// Writes to a file at a place.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    bytes: *const c_void,
    length: usize,
    at: i64,
) -> isize {
    write_file(length, |length| unsafe {
        syscall(libc::SYS_pwrite64, file, bytes, length, at) as isize
    })
}

/// Writes; only to files it fails.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: usize) -> isize {
    let pass_on = |length: usize| unsafe { syscall(libc::SYS_write, file, bytes, length) as isize };
    if is_regular(file) {
        write_file(length, pass_on)
    } else {
        pass_on(length)
    }
}

/// Reads; what is no file is interrupted like a socket. Nothing of it is cut: a descriptor of
/// signals gives whole ones.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(file: c_int, into: *mut c_void, length: usize) -> isize {
    if !is_regular(file) && draws(Field::InterruptPermille) {
        return fails(libc::EINTR.into());
    }
    unsafe { syscall(libc::SYS_read, file, into, length) as isize }
}

/// Syncs a file.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match disk_error() {
        Some(errno) => fails(errno) as c_int,
        None => unsafe { syscall(libc::SYS_fsync, file) as c_int },
    }
}

/// Syncs a file's data.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match disk_error() {
        Some(errno) => fails(errno) as c_int,
        None => unsafe { syscall(libc::SYS_fdatasync, file) as c_int },
    }
}

/// Accepts a connection.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut c_void,
    length: *mut u32,
    flags: c_int,
) -> c_int {
    let errno = value(Field::AcceptErrno);
    if errno != 0 && draws(Field::AcceptPermille) {
        return fails(errno) as c_int;
    }
    unsafe { syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// Reads from a socket.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    socket: c_int,
    into: *mut c_void,
    length: usize,
    flags: c_int,
) -> isize {
    use_socket(length, |length| unsafe {
        let null = std::ptr::null_mut::<c_void>();
        syscall(libc::SYS_recvfrom, socket, into, length, flags, null, null) as isize
    })
}

/// Writes to a socket.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    use_socket(length, |length| unsafe {
        let null = std::ptr::null::<c_void>();
        syscall(libc::SYS_sendto, socket, bytes, length, flags, null, 0u32) as isize
    })
}
