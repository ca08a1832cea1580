//! Calls of the C library: signals, and a filter that drops what a connection receives.

use std::{ffi::c_void, net::TcpStream, os::fd::AsRawFd};

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const SOL_SOCKET: i32 = 1;
const SO_ATTACH_FILTER: i32 = 26;

/// Instruction of a classic socket filter that returns a constant.
const BPF_RET: u16 = 0x06;

#[repr(C)]
struct FilterInstruction {
    code: u16,
    jump_true: u8,
    jump_false: u8,
    constant: u32,
}

#[repr(C)]
struct FilterProgram {
    len: u16,
    instructions: *const FilterInstruction,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, len: u32) -> i32;
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: the call has no memory arguments. The process is a child that wasn't waited for.
    unsafe { kill(pid as i32, number) };
}

/// Drops all that arrives on this connection from now on, without an acknowledgement, as if the path
/// had lost track of it. Returns whether the filter was installed.
pub fn drop_arrivals(stream: &TcpStream) -> bool {
    let instruction = FilterInstruction {
        code: BPF_RET,
        jump_true: 0,
        jump_false: 0,
        constant: 0,
    };
    let program = FilterProgram {
        len: 1,
        instructions: &instruction,
    };
    // SAFETY: the program and its instruction live until the call returns; the kernel copies them.
    let status = unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_ATTACH_FILTER,
            (&raw const program).cast(),
            size_of::<FilterProgram>() as u32,
        )
    };
    status == 0
}
