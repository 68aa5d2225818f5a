//! TCP sockets with options that detect a lost peer.

use crate::error::DaemonError;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the accept queue. A full queue drops connection attempts, which are retransmitted only
/// after seconds.
const BACKLOG: u32 = 1_024;
/// Time without an acknowledgement after which a connection is closed, since a cut link sends no
/// reset.
pub(super) const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a connection to a peer that may pause reading. The system also counts the time for
/// which the peer has no room for more bytes, although the peer acknowledges every probe. What the
/// system still holds for the peer is discarded then, even after the process has ended.
pub(super) const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Opens a listener whose connections are closed after `user_timeout` without an acknowledgement. On
/// most systems accepted connections inherit its options, see [`has_stream_options`].
///
/// # Errors
///
/// Returns an error if the address is in use.
pub(super) fn listen(
    step: &'static str,
    address: SocketAddr,
    user_timeout: Duration,
) -> Result<TcpListener, DaemonError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        set_socket_options(&SockRef::from(&socket), user_timeout)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|cause| DaemonError::Listen(step, address.to_string(), cause))
}

/// Disables Nagle's algorithm and enables keepalive and the user timeout.
///
/// # Errors
///
/// Returns an error if the system rejects an option.
pub(super) fn set_stream_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    set_socket_options(&SockRef::from(stream), user_timeout)
}

/// Sets the time without an acknowledgement after which a connection is closed.
///
/// # Errors
///
/// Returns an error if the system rejects the option.
pub(super) fn set_user_timeout(socket: &SockRef<'_>, user_timeout: Duration) -> io::Result<()> {
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    #[cfg(not(target_os = "linux"))]
    let _ = (socket, user_timeout);
    Ok(())
}

fn set_socket_options(socket: &SockRef<'_>, user_timeout: Duration) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    set_user_timeout(socket, user_timeout)
}

/// Returns whether a connection has the options of [`set_stream_options`].
///
/// If accepted connections inherit them from the listener, setting them again can be skipped.
pub(super) fn has_stream_options(stream: &TcpStream, user_timeout: Duration) -> bool {
    let socket = SockRef::from(stream);
    #[cfg(target_os = "linux")]
    let has_user_timeout =
        matches!(socket.tcp_user_timeout(), Ok(Some(after)) if after == user_timeout);
    #[cfg(not(target_os = "linux"))]
    let has_user_timeout = user_timeout > Duration::ZERO;
    let has_keepalive = matches!(socket.tcp_keepalive_time(), Ok(after) if after == KEEPALIVE_IDLE);
    let has_keepalive = has_keepalive && matches!(socket.keepalive(), Ok(true));
    let has_nodelay = matches!(socket.tcp_nodelay(), Ok(true));
    has_user_timeout && has_keepalive && has_nodelay
}

/// Connects to an endpoint.
///
/// # Errors
///
/// Returns an error if the endpoint cannot be reached within `timeout`.
pub(super) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream, USER_TIMEOUT)?;
    Ok(stream)
}

#[cfg(test)]
mod tests;
