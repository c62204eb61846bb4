//! Target side of a call: admission, dispatch to the target, and classification of the target's
//! response.
//!
//! A target that dies while it runs a request counts as a strike against the request. Requests that
//! crash several targets are recognised by their fingerprint and quarantined, that is refused.

use std::sync::Arc;
use std::time::Duration;

use admit::{Job, JobKey, JobOutcome, JobVerdict};
use config::Repeat;
use http::{HeaderValue, Method, Request, StatusCode, header};
use member::ReportOutcome;
use ops::Metric;
use tokio::sync::oneshot;
use wire::{Code, Fingerprint, Incarnation, InstanceId, Refusal, Time};

use crate::latency::Span;
use crate::message::{Answer, Call, Failure, Outcome, Reply, StrikeNotice, Times};
use crate::names;
use crate::rollouts;
use crate::shared::{Phase, Shared};
use crate::upstream::{ReceivedResponse, RequestBody, Reuse, SendError};

/// Largest body of a completed request that is hashed although no target has crashed lately.
const MAX_REMEMBERED_BODY: usize = 16 << 10;

/// Where a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This node.
    Local,
    /// A peer, so that the response crosses this node's link.
    Peer,
}

/// Runs a call from this node or a peer at the target, or refuses the call.
pub(crate) async fn run(shared: &Arc<Shared>, call: Call, origin: Origin) -> Reply {
    let call = Arc::new(call);
    let offered_at = shared.now();
    let slot = acquire_slot(shared, &call, origin).await;
    let started_at = shared.now();
    let outcome = match slot {
        Ok(mut slot) => dispatch(shared, &mut slot).await,
        Err(refusal) => Outcome::Refused(refusal.into()),
    };
    log_outcome(&call, &outcome);
    let ended_at = shared.now();
    Reply {
        queue: shared.queue_for_peers(ended_at).into(),
        outcome,
        times: Times {
            queued_ms: started_at.since(offered_at).as_millis() as u32,
            target_ms: ended_at.since(started_at).as_millis() as u32,
        },
    }
}

/// Logs the refusal of a call that has not been offered to the queue, and returns the reply.
pub(crate) fn refusal_reply(shared: &Shared, call: &Call, refusal: Refusal) -> Reply {
    let outcome = Outcome::Refused(refusal.into());
    log_outcome(call, &outcome);
    Reply {
        queue: shared.queue_for_peers(shared.now()).into(),
        outcome,
        times: Times::default(),
    }
}

/// The place of a call in the target's queue, and once the call has started, its slot. Dropping it
/// leaves the queue or frees the slot for the next call.
struct Slot {
    shared: Arc<Shared>,
    key: JobKey,
    call: Arc<Call>,
    deadline: Time,
    outcome: JobOutcome,
    /// Whether the target has the request and no outcome is known.
    is_dispatched: bool,
    /// Expected size of the response on this node's link.
    response_bytes: usize,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.now();
        if self.is_dispatched {
            rollouts::record_abandoned(&self.shared, self.call.route);
        }
        self.shared.link_load.lock().end(self.response_bytes);
        {
            let mut target = self.shared.target.lock();
            target.queue.finish(now, self.key, self.outcome);
            target.running.remove(self.key);
            target.waiters.remove(self.key);
        }
        self.shared.settle(now);
    }
}

/// Offers a call to the target's queue and waits until the call gets a slot or is refused.
async fn acquire_slot(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    origin: Origin,
) -> Result<Slot, Refusal> {
    let now = shared.now();
    check_admissible(shared, call, now)?;
    let job = new_job(shared, call, now);
    let deadline = job.deadline;
    let (job, response_bytes) = match origin {
        Origin::Local => (job, 0),
        Origin::Peer => job_before_transfer(shared, now, job)?,
    };
    let (key, start_signal, time_needed) = {
        let mut target = shared.target.lock();
        let time_needed = target.queue.time_needed(now, &job);
        match target.queue.offer(now, job) {
            JobVerdict::Run(key) => (key, None, time_needed),
            JobVerdict::Wait(key) => {
                let (tx, rx) = oneshot::channel();
                target.waiters.insert(key, tx);
                (key, Some(rx), time_needed)
            }
            JobVerdict::Refuse(refusal) => return Err(refusal),
        }
    };
    // From here on, dropping `slot` leaves the queue or frees the slot, also when the caller
    // disconnects.
    let slot = Slot {
        shared: shared.clone(),
        key,
        call: call.clone(),
        deadline,
        outcome: JobOutcome::Unmeasured,
        is_dispatched: false,
        response_bytes,
    };
    shared.link_load.lock().begin(response_bytes);
    rollouts::count_admitted(shared);
    if let Some(start_signal) = start_signal {
        let longest_wait = job.deadline.since(now).saturating_sub(time_needed);
        match tokio::time::timeout(longest_wait, start_signal).await {
            Ok(Ok(result)) => result?,
            Ok(Err(_)) | Err(_) => return Err(Code::CannotStartInTime.into()),
        }
    }
    shared
        .latencies
        .record(Span::Queue, shared.now().since(now));
    shared.target.lock().running.insert(key, call.clone());
    Ok(slot)
}

/// Returns the job with the time that its response needs on the link taken off, and the expected size
/// of the response.
fn job_before_transfer(shared: &Shared, now: Time, job: Job) -> Result<(Job, usize), Refusal> {
    let service = shared.target.lock().queue.expected_service(now, &job);
    let staged = shared.outbox.bytes();
    let link = shared.link_load.lock();
    let bytes = link.expected(job.route);
    let link_mbps = shared.settings.link_mbps;
    let job = link.before_transfer(now, job, service, (bytes, staged), link_mbps)?;
    Ok((job, bytes))
}

fn new_job(shared: &Shared, call: &Call, now: Time) -> Job {
    let max_wait = call.max_wait_ms.map(|ms| Duration::from_millis(ms.into()));
    let deadline = now + Duration::from_millis(call.remaining_ms);
    Job {
        route: call.route,
        priority: call.priority,
        organisation: organisation(shared, call),
        arrived: now,
        objective: now + Duration::from_millis(call.due_ms),
        deadline: shared.departure().map_or(deadline, |d| d.limit(deadline)),
        is_last_resort: call.is_last_resort,
        max_wait: max_wait.unwrap_or(Duration::MAX),
    }
}

/// Returns the organisation that the entry node has named in a call. Without organisations in the text,
/// the header is the caller's own and means nothing.
fn organisation(shared: &Shared, call: &Call) -> Option<u64> {
    shared.versions.table()?.organisations()?;
    let header = shared.settings.header_names.organisation.as_str();
    let named = call.headers.iter().find(|(name, _)| name == header);
    named.map(|(_, value)| Fingerprint::of(&[value.as_ref()]).0)
}

/// Checks whether a peer may upload the body of `call`, of `len` bytes, before the call; returns
/// the refusal if not.
pub(crate) fn check_upload(
    shared: &Shared,
    call: &Call,
    len: usize,
    now: Time,
) -> Result<(), Refusal> {
    check_admissible(shared, call, now)?;
    let uploads = &shared.uploads;
    let transit_time = admit::transit_time(uploads.bytes(), len, shared.settings.link_mbps);
    let job = new_job(shared, call, now);
    let target = shared.target.lock();
    admit::check_staged_body(&target.queue, now, &job, transit_time, uploads.bodies())
}

/// Checks whether this node takes a call at present, whatever the state of the queue.
fn check_admissible(shared: &Shared, call: &Call, now: Time) -> Result<(), Refusal> {
    if shared.phase() >= Phase::Refusing {
        return Err(Code::Draining.into());
    }
    {
        let target = shared.target.lock();
        match target.own.usable_report() {
            Some(report) if report.service == call.service => {}
            Some(_) => return Err(Code::NoInstance.into()),
            None if target.own.is_down() => return Err(Code::TargetDown.into()),
            None => return Err(Code::Draining.into()),
        }
    }
    if !shared.is_released(now) {
        shared.metrics.count(Metric::RolloutRefusals);
        return Err(Code::NotReleased.into());
    }
    if shared.is_quarantined(now, || fingerprint(shared, call)) {
        shared.metrics.count(Metric::QuarantineRefusals);
        return Err(Code::Quarantined.into());
    }
    Ok(())
}

/// Hashes the parts of a request that its retries share, to recognise requests that crash targets. They
/// may enter the mesh at any node, so that the service there is not one of them.
pub(crate) fn fingerprint(shared: &Shared, call: &Call) -> Fingerprint {
    let organisation = organisation(shared, call).unwrap_or_default().to_le_bytes();
    let head = [
        call.service.0.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &organisation,
    ];
    Fingerprint::of_pieces(&head, call.body.parts().map(AsRef::as_ref), call.body.len())
}

/// Sends the request to the target and waits for the response, at most until the deadline.
async fn dispatch(shared: &Arc<Shared>, slot: &mut Slot) -> Outcome {
    let started_at = shared.now();
    // The deadline may have passed while the request waited, such as during a suspension of the
    // machine.
    if slot.deadline <= started_at {
        return Outcome::Refused(Refusal::from(Code::CannotStartInTime).into());
    }
    let Some(incarnation) = shared.target_incarnation() else {
        return Outcome::Refused(Refusal::from(Code::TargetDown).into());
    };
    let Some(req) = build_request(shared, slot, &incarnation.name, started_at) else {
        return Outcome::Refused(Refusal::from(Code::BadHeader).into());
    };
    shared.metrics.count(Metric::HandOvers);
    let reuse = match slot.call.is_repeatable {
        _ if slot.call.request_id.is_empty() => Reuse::Never,
        true => Reuse::Any,
        false => Reuse::UnlessSuspected,
    };
    slot.is_dispatched = true;
    let remaining = slot.deadline.since(started_at);
    let sent = shared.upstream.send(shared, req, reuse);
    let target_loss = shared.wait_for_target_loss();
    let received = tokio::select! {
        r = tokio::time::timeout(remaining, sent) => r,
        () = target_loss => Ok(Err(SendError::Broken)),
    };
    let now = shared.now();
    let outcome = match received {
        Ok(Ok(received)) => {
            shared.latencies.record(Span::Target, now.since(started_at));
            shared.target.lock().last_response_at = now;
            classify_response(shared, &slot.call, received, now)
        }
        Ok(Err(e)) => failed_outcome(shared, slot, e).await,
        Err(_) => Outcome::Failed(Failure::Timeout),
    };
    slot.is_dispatched = false;
    if let Outcome::Answer(answer) = &outcome {
        let bytes = answer.body.len();
        shared.link_load.lock().record(slot.call.route, bytes);
        if answer.status < 500 {
            report_completed(shared, &slot.call);
        }
    }
    rollouts::record_outcome(shared, slot.call.route, now.since(started_at), &outcome);
    slot.outcome = job_outcome(&outcome);
    outcome
}

fn build_request(
    shared: &Shared,
    slot: &Slot,
    target: &str,
    now: Time,
) -> Option<Request<RequestBody>> {
    let call = &slot.call;
    let header_names = &shared.settings.header_names;
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let mut req = Request::builder()
        .method(method)
        .uri(call.path.as_str())
        .body(RequestBody::from(&call.body))
        .ok()?;
    let remaining = slot.deadline.since(now).as_millis();
    let headers = req.headers_mut();
    *headers = names::to_header_map(&call.headers);
    headers.insert(
        &header_names.remaining_ms,
        HeaderValue::from(remaining as u64),
    );
    headers.insert(
        &header_names.expected_target,
        HeaderValue::from_str(target).ok()?,
    );
    Some(req)
}

/// Converts a response of the target into the outcome of the call. A response that may belong to
/// another request, or that does not prove that the target sent it, is a failure.
fn classify_response(
    shared: &Shared,
    call: &Call,
    received: ReceivedResponse,
    now: Time,
) -> Outcome {
    let header_names = &shared.settings.header_names;
    let id = names::visible_ascii(&received.headers, &header_names.request_id).unwrap_or_default();
    let not_run = received.headers.contains_key(&header_names.not_run);
    // Without an id, only the connection tells to which request an answer belongs.
    let is_own = id == call.request_id || (id.is_empty() && received.is_first);
    if !is_own {
        log::warn!(event = "stray_answer", id = call.request_id.as_str(), answer_id = id, status = received.status.as_u16(); "target's response belongs to another request; idle connections dropped, outcome unknown");
        shared.upstream.suspect(now);
        return Outcome::Failed(Failure::Broken);
    }
    if received.status == StatusCode::MISDIRECTED_REQUEST || not_run {
        if let Some(target) = names::visible_ascii(&received.headers, &header_names.target_id) {
            note_target_id(shared, target, now);
        }
        return Outcome::Shed;
    }
    let is_marked = received.headers.contains_key(&header_names.response_mark);
    let is_encoded = received.headers.contains_key(header::CONTENT_ENCODING);
    // A 4xx response is final for the caller, so it needs the same proof as a success. A 5xx
    // response promises nothing.
    let is_unproved = received.status.as_u16() < 500 && (!is_marked || id.is_empty());
    // Interim responses are handled by the HTTP library, and no protocol switch is requested.
    let is_interim = received.status.is_informational();
    // Without the target's "not run" header, these statuses do not prove that the request was not
    // run.
    let is_unproved_refusal = matches!(received.status.as_u16(), 408 | 429 | 503);
    if is_unproved || is_interim || is_encoded || is_unproved_refusal {
        shared.upstream.suspect(now);
        return Outcome::Failed(Failure::Broken);
    }
    let hop_headers = [&header_names.load, &header_names.target_id];
    Outcome::Answer(Answer {
        status: received.status.as_u16(),
        headers: names::end_to_end(&received.headers, &hop_headers),
        body: received.body,
        staged: None,
    })
}

/// Records that the target `id` responds at the address. If that is another target than the known
/// one, the known one gets no more requests.
fn note_target_id(shared: &Shared, id: &str, now: Time) {
    let has_changed = {
        let mut target = shared.target.lock();
        let was_usable = target.own.usable_report().is_some();
        target.own.drop_if_replaced_by(id);
        was_usable != target.own.usable_report().is_some()
    };
    if has_changed {
        log::warn!(event = "target_replaced", id; "another target answers at the address; the known one gets no more requests");
        shared.target_changed(now);
    }
}

/// Converts a failure to send into the outcome of the call. If the target accepts no connection any
/// more, marks it as down, and reports a strike if the request had been sent.
async fn failed_outcome(shared: &Arc<Shared>, slot: &Slot, e: SendError) -> Outcome {
    let is_alive = match e {
        SendError::Connect => false,
        SendError::ReusedConnection | SendError::Broken => {
            shared.upstream.is_accepting(shared).await
        }
    };
    if !is_alive {
        mark_target_down(shared);
    }
    match e {
        SendError::Connect => {
            shared.metrics.count(Metric::TargetConnectFailed);
            Outcome::Refused(Refusal::from(Code::TargetDown).into())
        }
        SendError::ReusedConnection | SendError::Broken => {
            shared.metrics.count(Metric::TargetLost);
            if !is_alive {
                report_strike(shared, &slot.call);
            }
            Outcome::Failed(match e {
                SendError::ReusedConnection if is_alive => Failure::ReusedConnection,
                _ => Failure::Broken,
            })
        }
    }
}

/// Marks the target as down because it accepts no connections. The next report of the target or a
/// successful health check ends that state.
pub(crate) fn mark_target_down(shared: &Shared) {
    let was_usable = {
        let mut target = shared.target.lock();
        let usable = target.own.usable_report().is_some();
        target.own.record_refused_connection();
        usable
    };
    if was_usable {
        log::warn!(event = "target_down"; "target refuses connections; no requests are sent to it until it reports again");
        shared.upstream.reset();
        shared.target_changed(shared.now());
    }
}

/// Counts a strike against a request, and notifies all connected peers of the strike.
fn report_strike(shared: &Arc<Shared>, call: &Call) {
    let target = shared.target.lock();
    let Some(report) = target.own.current_report() else {
        return;
    };
    let notice = StrikeNotice {
        fingerprint: fingerprint(shared, call),
        target: InstanceId::of(&report.incarnation.name).0,
        started: report.incarnation.started,
    };
    drop(target);
    record_strike(shared, notice);
    for (_, client) in shared.peers.lock().clients() {
        shared.tasks.spawn(async move {
            // A notice may get lost: the peer still counts the strikes that it finds itself.
            let _ = client.strike(tarpc::context::current(), notice).await;
        });
    }
}

/// Records at this node that a request has completed; see [`Quarantine::record_completed`]. Returns its
/// fingerprint if other nodes should know. A large body is hashed only while there are strikes.
///
/// [`Quarantine::record_completed`]: route::Quarantine::record_completed
pub(crate) fn record_completed(shared: &Shared, call: &Call) -> Option<Fingerprint> {
    if call.body.len() > MAX_REMEMBERED_BODY && shared.quarantine.lock().is_empty() {
        return None;
    }
    let fp = fingerprint(shared, call);
    end_suspicion(shared, fp).then_some(fp)
}

/// Voids the strikes against the fingerprint of a completed request. Returns whether there were any.
pub(crate) fn end_suspicion(shared: &Shared, fp: Fingerprint) -> bool {
    let now = shared.now();
    let (was_quarantined, has_changed) = {
        let mut quarantine = shared.quarantine.lock();
        let was_quarantined = quarantine.is_quarantined(now, fp);
        (was_quarantined, quarantine.record_completed(now, fp))
    };
    if was_quarantined {
        log::info!(event = "quarantine_lifted", fingerprint = fp.0; "a request with the fingerprint has completed; such requests are admitted again");
    }
    has_changed
}

/// Records that the target has completed a request, and notifies all connected peers if that voids
/// strikes.
fn report_completed(shared: &Arc<Shared>, call: &Call) {
    let Some(fp) = record_completed(shared, call) else {
        return;
    };
    for (_, client) in shared.peers.lock().clients() {
        shared.tasks.spawn(async move {
            // A peer that misses the notice counts the completed runs that it finds itself.
            let _ = client.run_completed(tarpc::context::current(), fp).await;
        });
    }
}

/// Counts a strike found by this node or announced by a peer.
pub(crate) fn record_strike(shared: &Shared, notice: StrikeNotice) {
    shared.metrics.count(Metric::Strikes);
    let result = shared.quarantine.lock().strike(
        shared.now(),
        notice.fingerprint,
        InstanceId(notice.target),
        Incarnation(notice.started.0),
    );
    if result == route::Strike::Quarantined {
        log::warn!(event = "quarantine", fingerprint = notice.fingerprint.0; "request crashed targets; requests with its fingerprint are refused from now on");
    }
}

/// Returns what the target's queue learns from the outcome of a call.
fn job_outcome(outcome: &Outcome) -> JobOutcome {
    match outcome {
        Outcome::Answer(a) if a.status < 500 => JobOutcome::Completed,
        Outcome::Answer(_) | Outcome::Shed | Outcome::Failed(_) => JobOutcome::Failed,
        Outcome::Refused(_) => JobOutcome::Unmeasured,
    }
}

/// Logs refusals and failures. Responses are left to the entry node, which logs each request.
fn log_outcome(call: &Call, outcome: &Outcome) {
    let id = call.request_id.as_str();
    match outcome {
        Outcome::Answer(_) => {}
        Outcome::Refused(r) => {
            let refusal = Refusal::from(*r);
            log::debug!(event = "refused_beside", id, code = refusal.code.number(); "request refused before dispatch to the target");
        }
        Outcome::Shed => {
            log::info!(event = "shed", id; "target refused the request and has not run it");
        }
        Outcome::Failed(f) => {
            log::info!(event = "failed_beside", id, code = f.code().number(); "request failed after dispatch to the target; its outcome is unknown");
        }
    }
}

/// Returns whether requests of a route may be sent again after a target may have run them.
pub(crate) fn is_repeatable(repeat: Repeat) -> bool {
    repeat == Repeat::Safe
}

/// Applies a report of the target about itself and returns the report's effect.
pub(crate) fn apply_report(shared: &Shared, report: &member::TargetReport) -> ReportOutcome {
    let now = shared.now();
    let (result, was_down) = {
        let mut target = shared.target.lock();
        let was_down = target.own.is_down();
        let result = target.own.apply_report(now, report);
        if result == ReportOutcome::NewLife {
            target.queue.restart();
        }
        (result, was_down)
    };
    if result != ReportOutcome::Stale {
        let is_new = result == ReportOutcome::NewLife;
        rollouts::record_target(shared, now, &report.software, is_new);
    }
    if result == ReportOutcome::NewLife {
        shared.upstream.reset();
        shared.health_check_due.notify_one();
    }
    if matches!(result, ReportOutcome::Changed | ReportOutcome::NewLife) || was_down {
        log::info!(
            event = "target_report",
            target_id:% = report.incarnation.name,
            started = report.incarnation.started.0,
            sequence = report.sequence,
            state:? = report.state,
            result:? = result;
            "state or incarnation of the target has changed"
        );
        shared.target_changed(now);
    }
    result
}
