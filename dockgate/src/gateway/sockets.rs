//! Sockets that notice when the other side is gone.

use crate::error::DaemonError;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted: a burst of callers must not lose its first packets, which
/// are sent again only after seconds.
const BACKLOG: u32 = 1_024;
/// After how long without an acknowledgement a connection is given up: a link that is cut says
/// nothing, and callers stop waiting for a stream after two seconds.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection rests before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Opens a listener; what it accepts has its options on most systems ([`has_stream_options`]).
///
/// # Errors
///
/// Returns an error where the address is taken.
pub(super) fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        set_socket_options(&SockRef::from(&socket))?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|cause| DaemonError::Listen(step, address.to_string(), cause))
}

/// Sets what every connection needs: no delay, and an end when the other side falls silent.
///
/// # Errors
///
/// Returns an error where the system refuses an option.
pub(super) fn set_stream_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options(&SockRef::from(stream))
}

fn set_socket_options(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(())
}

/// Tells whether a connection has all that [`prepare`] sets, as it has where an accepted one takes over
/// the options of its listener: six calls fewer for each caller that connects.
pub(super) fn has_stream_options(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    #[cfg(target_os = "linux")]
    let has_user_timeout =
        matches!(socket.tcp_user_timeout(), Ok(Some(after)) if after == USER_TIMEOUT);
    #[cfg(not(target_os = "linux"))]
    let has_user_timeout = true;
    let has_keepalive = matches!(socket.tcp_keepalive_time(), Ok(after) if after == KEEPALIVE_IDLE);
    let has_keepalive = has_keepalive && matches!(socket.keepalive(), Ok(true));
    let has_nodelay = matches!(socket.tcp_nodelay(), Ok(true));
    has_user_timeout && has_keepalive && has_nodelay
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// Returns an error where it cannot be reached within `timeout`.
pub(super) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream)?;
    Ok(stream)
}

#[cfg(test)]
mod tests;
