//! Reads bodies into one buffer and counts them in the memory budget.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug)]
    pub enum ReadFailure {
        /// It exceeds the size limit.
        TooLarge {
            display("read a body: too large")
        }
        /// The box has no memory for it.
        OutOfMemory {
            display("read a body: out of memory")
        }
        /// Its connection failed.
        Broken(cause: hyper::Error) {
            display("{}", cause)
        }
    }
}

/// Reads a body of at most `limit` bytes, of which `counted` are counted already.
///
/// `count` counts further bytes and returns whether they fit. The frames are copied, since each of
/// them keeps the whole read buffer of its connection.
///
/// # Errors
///
/// Returns a failure if the body is not read to its end.
pub(super) async fn read_counted(
    body: &mut Incoming,
    limit: usize,
    counted: u64,
    mut count: impl FnMut(u64) -> bool,
) -> Result<Bytes, ReadFailure> {
    let mut bytes = BytesMut::with_capacity(counted as usize);
    let mut counted = counted as usize;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadFailure::Broken)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(ReadFailure::TooLarge);
        }
        if length > counted {
            // The buffer at least doubles when it grows.
            let capacity = length.max(counted * 2);
            if !count((capacity - counted) as u64) {
                return Err(ReadFailure::OutOfMemory);
            }
            bytes.reserve(capacity - bytes.len());
            counted = capacity;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

#[cfg(test)]
mod tests;
