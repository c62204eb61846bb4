//! Waiting for memory, while callers that hold much of it and do not go on are closed.

use std::time::Duration;

use bytes::Bytes;
use memory::{Body, BodyWriter, OutOfMemory, Tally, Use};
use tokio::time::Instant;

use crate::connections::Relief;
use crate::shared::Shared;

/// Time between two attempts to get memory, if none is released meanwhile. A release between an attempt
/// and the wait is found by the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the memory of callers that are being closed.
const RELIEF_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a body that has arrived with its message.
pub(crate) fn received(shared: &Shared, body: Body) -> Body {
    let mut charge = shared.memory.charge(None);
    charge.set(body.len());
    Body::received(body.slice(0, body.len()), charge)
}

/// Starts a response of `len` bytes once there is memory for all of it. Its request has run, so that it
/// waits as long as it takes. Fails if there never will be enough.
pub(crate) async fn response(shared: &Shared, len: usize) -> Result<BodyWriter, OutOfMemory> {
    if !shared.memory.could_hold(Use::of(len, Use::Response), len) {
        return Err(OutOfMemory);
    }
    loop {
        let writer = BodyWriter::with_len(&shared.memory, None, Use::Response, len);
        if writer.is_ok() {
            return writer;
        }
        shared.connections.relieve(shared, shared.now());
        wait_for_release(shared).await;
    }
}

/// Starts the body of a request, of `len` bytes if that is known. Fails at once if no memory is about to
/// be freed for it.
pub(crate) async fn request(
    shared: &Shared,
    tally: &Tally,
    len: Option<usize>,
) -> Result<BodyWriter, OutOfMemory> {
    let Some(len) = len else {
        return Ok(BodyWriter::new(&shared.memory, Some(tally), Use::Request));
    };
    let give_up_at = Instant::now() + RELIEF_TIMEOUT;
    loop {
        let writer = BodyWriter::with_len(&shared.memory, Some(tally), Use::Request, len);
        if writer.is_ok() {
            return writer;
        }
        make_room(shared, give_up_at).await?;
    }
}

/// Appends `data`. Fails as soon as no memory is about to be freed for it.
pub(crate) async fn write(
    shared: &Shared,
    writer: &mut BodyWriter,
    data: Bytes,
) -> Result<(), OutOfMemory> {
    let mut data = data;
    let give_up_at = Instant::now() + RELIEF_TIMEOUT;
    while writer.write(&mut data).is_err() {
        make_room(shared, give_up_at).await?;
    }
    Ok(())
}

async fn make_room(shared: &Shared, give_up_at: Instant) -> Result<(), OutOfMemory> {
    let relief = shared.connections.relieve(shared, shared.now());
    if relief == Relief::None || Instant::now() >= give_up_at {
        return Err(OutOfMemory);
    }
    wait_for_release(shared).await;
    Ok(())
}

async fn wait_for_release(shared: &Shared) {
    let _ = tokio::time::timeout(RETRY_INTERVAL, shared.memory.released()).await;
}
