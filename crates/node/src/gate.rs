//! Waiting for a slot of the target: drives [`Admission`] with timers and wakes the waiters.

use std::sync::Arc;

use admit::{Admission, Event, Finish, Limits, Offer, RequestKey, Verdict};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot, watch};
use wire::{Code, Load, Refusal};

use crate::clock::Clock;

type Decision = Result<(), Refusal>;

/// Admission to the local target: grants its slots and refuses requests, as [`Admission`] decides.
#[derive(Debug)]
pub(crate) struct Gate {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Signals to [`Gate::run_timer`] that the next wake-up time may have changed.
    wake_changed: Notify,
}

#[derive(Debug)]
struct Inner {
    admission: Admission,
    waiters: SecondaryMap<RequestKey, oneshot::Sender<Decision>>,
}

impl Inner {
    /// Sends the decisions that are due to the waiters.
    fn deliver_decisions(&mut self, clock: Clock) {
        for event in self.admission.poll(clock.now()) {
            let (key, decision) = match event {
                Event::Start(key) => (key, Ok(())),
                Event::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(tx) = self.waiters.remove(key) {
                let _ = tx.send(decision);
            }
        }
    }
}

impl Gate {
    pub(crate) fn new(clock: Clock, limits: Limits) -> Arc<Gate> {
        let admission = Admission::new(limits, clock.now());
        let inner = Mutex::new(Inner {
            admission,
            waiters: SecondaryMap::new(),
        });
        Arc::new(Gate {
            clock,
            inner,
            wake_changed: Notify::new(),
        })
    }

    /// Waits for a slot, or fails when admission refuses the request.
    pub(crate) async fn acquire(self: &Arc<Self>, offer: &Offer) -> Result<Permit, Refusal> {
        let mut waiter = {
            let mut inner = self.inner.lock();
            match inner.admission.offer(self.clock.now(), offer) {
                Verdict::Run(key) => return Ok(self.permit(key)),
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Queue(key) => {
                    let (tx, rx) = oneshot::channel();
                    inner.waiters.insert(key, tx);
                    Waiter {
                        gate: self.clone(),
                        key,
                        rx: Some(rx),
                    }
                }
            }
        };
        self.wake_changed.notify_one();
        let Some(rx) = waiter.rx.as_mut() else {
            return Err(Code::CannotStartInTime.into());
        };
        let decision = rx.await;
        waiter.rx = None;
        match decision {
            Ok(Ok(())) => Ok(self.permit(waiter.key)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Code::CannotStartInTime.into()),
        }
    }

    pub(crate) fn load(&self) -> Load {
        self.inner.lock().admission.load()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.inner.lock().admission.is_idle()
    }

    pub(crate) fn set_limits(&self, limits: Limits) {
        self.update(|a, clock| a.set_limits(clock.now(), limits));
    }

    pub(crate) fn drain(&self) {
        self.update(|a, clock| a.drain(clock.now()));
    }

    pub(crate) fn resume(&self) {
        self.update(|a, clock| a.resume(clock.now()));
    }

    /// Runs admission at each wake-up time and delivers its decisions, until `stop` is set.
    pub(crate) async fn run_timer(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let wake = self.inner.lock().admission.next_wake();
            let sleep = async {
                match wake {
                    Some(at) => tokio::time::sleep_until(self.clock.to_tokio_instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.wake_changed.notified() => {}
                _ = stop.changed() => {}
            }
            self.inner.lock().deliver_decisions(self.clock);
        }
    }

    fn permit(self: &Arc<Self>, key: RequestKey) -> Permit {
        Permit {
            gate: self.clone(),
            key,
            is_complete: false,
        }
    }

    /// Changes the state of admission, then delivers the decisions that follow from the change.
    fn update(&self, f: impl FnOnce(&mut Admission, Clock)) {
        let mut inner = self.inner.lock();
        f(&mut inner.admission, self.clock);
        inner.deliver_decisions(self.clock);
        drop(inner);
        self.wake_changed.notify_one();
    }
}

/// A queued request; dropping it removes the request from the queue.
struct Waiter {
    gate: Arc<Gate>,
    key: RequestKey,
    /// `None` once the decision has been received.
    rx: Option<oneshot::Receiver<Decision>>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else { return };
        let key = self.key;
        self.gate.inner.lock().waiters.remove(key);
        match rx.try_recv() {
            // The slot was granted just before the caller disconnected, so the slot is released.
            Ok(Ok(())) => drop(self.gate.permit(key)),
            Ok(Err(_)) => {}
            Err(_) => self.gate.update(|a, clock| a.cancel(clock.now(), key)),
        }
    }
}

/// A slot of the target; released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    key: RequestKey,
    /// Whether the target sent a complete response.
    is_complete: bool,
}

impl Permit {
    /// Releases the slot after a complete response.
    pub(crate) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (key, is_complete) = (self.key, self.is_complete);
        self.gate
            .update(|a, clock| a.finish(clock.now(), key, Finish { is_complete }));
    }
}
