//! System calls that fail as a file says: a library that is loaded into a process of the program
//! by `LD_PRELOAD`.
//!
//! It stands before the C library's functions for the wall clock, files and sockets, and passes on
//! what is not to fail. What fails is read from a file that [`CONTROL_VARIABLE`] names, which
//! [`raildeal_test_harness::syscall_faults`] writes.
//!
//! Linux on x86-64 alone: the numbers of the calls stand here.
//!
//! The monotonic clock is never touched, and neither is what the process writes to its log.

#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

use raildeal_test_harness::syscall_faults::{Field, CONTROL_BYTES, CONTROL_VARIABLE};
use std::ffi::{c_char, c_int, c_long, c_void, CString};
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering};

const CLOCK_REALTIME: c_int = 0;
const EINTR: i64 = 4;
const SIGKILL: c_int = 9;
const PROT_READ_WRITE: c_int = 3;
const O_RDWR: c_int = 2;
const MAP_SHARED: c_int = 1;
const NS_PER_SECOND: i64 = 1_000_000_000;
const FILE_TYPE_MASK: u32 = 0o170_000;
const REGULAR_FILE: u32 = 0o100_000;

const SYS_READ: c_long = 0;
const SYS_WRITE: c_long = 1;
const SYS_FSTAT: c_long = 5;
const SYS_PWRITE64: c_long = 18;
const SYS_SENDTO: c_long = 44;
const SYS_RECVFROM: c_long = 45;
const SYS_FSYNC: c_long = 74;
const SYS_FDATASYNC: c_long = 75;
const SYS_CLOCK_GETTIME: c_long = 228;
const SYS_ACCEPT4: c_long = 288;

unsafe extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn mmap(
        at: *mut c_void,
        length: usize,
        protection: c_int,
        flags: c_int,
        file: c_int,
        offset: i64,
    ) -> *mut c_void;
    fn close(file: c_int) -> c_int;
    fn kill(process: c_int, signal: c_int) -> c_int;
    fn getpid() -> c_int;
    fn __errno_location() -> *mut c_int;
}

/// A time as the C library has it.
#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanos: i64,
}

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
    let mapped = map_control().unwrap_or(NOTHING.as_ptr().cast_mut());
    CONTROL.store(mapped, Ordering::Release);
    mapped
}

fn map_control() -> Option<*mut AtomicI64> {
    let name = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: the name ends with a zero byte; the path that comes back is only read.
    unsafe {
        let path = getenv(name.as_ptr());
        if path.is_null() {
            return None;
        }
        let file = open(path, O_RDWR);
        if file < 0 {
            return None;
        }
        let null = std::ptr::null_mut();
        let mapped = mmap(null, CONTROL_BYTES, PROT_READ_WRITE, MAP_SHARED, file, 0);
        close(file);
        (mapped as isize != -1).then_some(mapped.cast())
    }
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
    unsafe { *__errno_location() = errno as c_int };
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
    let mut stat = [0u32; 64];
    // SAFETY: 256 bytes are more than the kernel writes; the mode stands behind three words of
    // eight bytes.
    let found = unsafe { syscall(SYS_FSTAT, file, stat.as_mut_ptr()) } == 0;
    found && stat[6] & FILE_TYPE_MASK == REGULAR_FILE
}

/// A write to a file, passed on by `write` with the bytes that are to be written.
fn write_file(length: usize, write: impl Fn(usize) -> isize) -> isize {
    if is_last_write() {
        write(length / 2);
        field(Field::KilledInWrite).store(1, Ordering::Relaxed);
        // SAFETY: ends this process, as it was told.
        unsafe { kill(getpid(), SIGKILL) };
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
        return fails(EINTR);
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
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let read = unsafe { syscall(SYS_CLOCK_GETTIME, clock, time) } as c_int;
    if read == 0 && clock == CLOCK_REALTIME {
        let time = unsafe { &mut *time };
        let nanos = time.nanos + value(Field::WallClockAheadNs);
        time.seconds += nanos.div_euclid(NS_PER_SECOND);
        time.nanos = nanos.rem_euclid(NS_PER_SECOND);
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
        syscall(SYS_PWRITE64, file, bytes, length, at) as isize
    })
}

/// Writes; only to files it fails.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: usize) -> isize {
    let pass_on = |length: usize| unsafe { syscall(SYS_WRITE, file, bytes, length) as isize };
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
        return fails(EINTR);
    }
    unsafe { syscall(SYS_READ, file, into, length) as isize }
}

/// Syncs a file.
///
/// # Safety
/// As the C library's function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match disk_error() {
        Some(errno) => fails(errno) as c_int,
        None => unsafe { syscall(SYS_FSYNC, file) as c_int },
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
        None => unsafe { syscall(SYS_FDATASYNC, file) as c_int },
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
    unsafe { syscall(SYS_ACCEPT4, socket, address, length, flags) as c_int }
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
        syscall(SYS_RECVFROM, socket, into, length, flags, null, null) as isize
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
        syscall(SYS_SENDTO, socket, bytes, length, flags, null, 0u32) as isize
    })
}
