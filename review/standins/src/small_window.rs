//! TCP connections with a small receive buffer, which the standard library cannot set before it
//! connects.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const SockAddr, length: u32) -> c_int;
}

/// Connects to an IPv4 address with a receive buffer of this many bytes.
pub fn connect_with_buffer(address: SocketAddr, bytes: c_int) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let checked = |result: c_int| match result {
        0.. => Ok(result),
        _ => Err(io::Error::last_os_error()),
    };
    let address: SocketAddrV4 = address;
    let raw = SockAddr {
        family: AF_INET as u16,
        port: address.port().to_be(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is owned by `stream` from its creation on, and the pointers refer to
    // values that outlive the calls and have the stated lengths.
    unsafe {
        let fd = checked(socket(AF_INET, SOCK_STREAM, 0))?;
        let stream = TcpStream::from(OwnedFd::from_raw_fd(fd));
        let value = (&raw const bytes).cast();
        checked(setsockopt(
            fd,
            SOL_SOCKET,
            SO_RCVBUF,
            value,
            size_of::<c_int>() as u32,
        ))?;
        checked(connect(fd, &raw const raw, size_of::<SockAddr>() as u32))?;
        Ok(stream)
    }
}
