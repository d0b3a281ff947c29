//! Runs: calls to the endpoint, what they report, and how they end.

use bytes::Bytes;
use waxwing_core::{counters, ids, reasons, units};
use waxwing_wire::messages;

use crate::{events, formats, jobs, state};

/// Statuses from 200 on and below this one are successes.
const FIRST_REDIRECT: u16 = 300;

impl state::AgentCore {
    /// Starts the next run of a request that holds a share of the limit.
    pub(super) fn start_run(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        let own = self.expected_prefill(job);
        let run = events::RunId(self.next_run);
        self.next_run += 1;
        if self.runs.is_empty() {
            self.pace.progress(self.now);
        }
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let shares = running.filter_map(|(_, job)| job.share);
        let ahead = shares.fold(own, |ahead, share| ahead + share.prefill);
        let progress = jobs::RunProgress {
            own,
            ahead,
            ..jobs::RunProgress::idle(self.now)
        };
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.runs += 1;
        job.stage = jobs::JobStage::Running(run);
        job.progress = progress;
        if let Some(reader) = job.reader.as_mut().filter(|_| job.runs > 1) {
            reader.begin_resumed();
        }
        let Some(call) = &job.call else {
            return;
        };
        let call = events::EndpointCall {
            name: request.to_string(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.format.body(job.tokens),
            import: job.kv.take(),
        };
        self.runs.insert(run, request);
        self.counters.count(counters::CounterEvent::Dispatches);
        self.outputs.push(events::AgentOutput::Start { run, call });
        self.reports.mark();
    }

    /// Cancels the run of a request, if it has one, and gives its share back. What it computed
    /// is added to the tally as far as it can be estimated. The request does not run again before
    /// the endpoint has confirmed the cancellation, which would else hit the later run.
    pub(super) fn stop_run(&mut self, request: ids::RequestId, export: bool) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        if let Some(run) = job.run() {
            self.stopping.insert(run, request);
            let name = request.to_string();
            self.outputs
                .push(events::AgentOutput::Stop { run, name, export });
        }
        self.close_run(request);
    }

    /// Books the end of a run, however it ended.
    pub(super) fn close_run(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        if let Some(share) = job.share.take() {
            self.admission.release(share);
        }
        let Some(run) = job.run() else {
            return;
        };
        if self.runs.remove(&run).is_none() {
            return;
        }
        let elapsed = self.now.saturating_duration_since(job.progress.started);
        let estimate = match job.progress.first_token {
            Some(_) => job.progress.own.0,
            None => {
                let possible = self.pace.rate().0 * elapsed.as_secs_f64();
                job.progress.own.0.min(possible as u64)
            }
        };
        let usage = job.progress.usage;
        let computed = usage.map_or(estimate, |usage| {
            usage.prompt_tokens.saturating_sub(usage.cached_tokens)
        });
        if job.reader.is_some() {
            let cached = usage.map_or(0, |usage| usage.cached_tokens);
            let counters = &self.counters;
            counters.add(counters::CounterEvent::PrefillTokens, computed);
            counters.add(counters::CounterEvent::PrefillCachedTokens, cached);
            job.tally.computed += computed;
            if job.runs == 1 {
                let full = usage.map_or(job.progress.own.0, |_| computed);
                job.tally.needed = full;
            }
        }
        self.reports.mark();
    }

    pub(super) fn endpoint_event(&mut self, run: events::RunId, event: events::EndpointEvent) {
        let Some(request) = self.runs.get(&run).copied() else {
            self.late_event(run, event);
            return;
        };
        match event {
            events::EndpointEvent::Head { status, headers } => {
                self.run_head(request, status, headers);
            }
            events::EndpointEvent::Data(data) => self.run_data(request, data),
            events::EndpointEvent::Ended => self.run_ended(request),
            events::EndpointEvent::NotSent => {
                self.suspect_endpoint();
                self.run_failed(request, reasons::Outcome::NotRun);
            }
            events::EndpointEvent::Failed => {
                self.suspect_endpoint();
                self.run_failed(request, reasons::Outcome::Unknown);
            }
        }
        self.deliver(request);
    }

    /// Takes what a suspended run still delivers until the endpoint has confirmed its end. It is
    /// part of the answer, and the run may even complete it.
    fn late_event(&mut self, run: events::RunId, event: events::EndpointEvent) {
        let Some(request) = self.stopping.get(&run).copied() else {
            return;
        };
        let events::EndpointEvent::Data(data) = event else {
            return;
        };
        let job = self.jobs.get_mut(request);
        let suspended = |job: &&mut jobs::Job| matches!(job.stage, jobs::JobStage::Suspended(_));
        let Some(job) = job.filter(suspended) else {
            return;
        };
        let Some(reader) = job.reader.as_mut() else {
            return;
        };
        let step = reader.read(&data);
        job.tokens += step.tokens;
        job.answer.push(Bytes::from(step.data));
        if step.done {
            job.answer.finish_whole();
            self.end(request);
        }
        self.deliver(request);
    }

    fn suspect_endpoint(&mut self) {
        if self.health == state::EndpointHealth::Up {
            self.health = state::EndpointHealth::Suspect;
        }
    }

    fn run_head(
        &mut self,
        request: ids::RequestId,
        status: u16,
        headers: Vec<messages::HeaderField>,
    ) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        let success = (200..FIRST_REDIRECT).contains(&status);
        if job.runs > 1 && !success {
            // The engine refused to go on; the caller has the beginning of the answer.
            self.stop_run(request, false);
            self.run_failed(request, reasons::Outcome::Unknown);
            return;
        }
        if !success {
            // An error is passed on as it is, and is no stream of tokens.
            job.reader = None;
        }
        let chat = match job.call.as_ref().map(|call| &call.format) {
            Some(formats::CallFormat::Chat(chat)) if success => Some(chat.streams()),
            _ => None,
        };
        let headers = chat.map_or(headers, formats::chat_headers);
        job.answer.set_head(u32::from(status), headers);
    }

    fn run_data(&mut self, request: ids::RequestId, data: Bytes) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        let Some(reader) = job.reader.as_mut() else {
            job.answer.push(data);
            self.pace.progress(self.now);
            return;
        };
        let step = reader.read(&data);
        job.answer.push(Bytes::from(step.data));
        job.progress.usage = step.usage.or(job.progress.usage);
        if step.tokens > 0 {
            self.tokens_arrived(request, step.tokens);
        }
        if step.broken {
            self.stop_run(request, false);
            self.run_failed(request, reasons::Outcome::Unknown);
        } else if step.done {
            self.run_complete(request);
        }
    }

    fn tokens_arrived(&mut self, request: ids::RequestId, tokens: u64) {
        let now = self.now;
        let running = self.runs.len();
        self.pace.progress(now);
        self.stall = state::StallGuard::default();
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.tokens += tokens;
        let progress = &mut job.progress;
        match progress.last_token.replace(now) {
            Some(last) => {
                let interval = now.saturating_duration_since(last) / tokens.max(1) as u32;
                let prefilling = self.admission.pending() > units::TokenCount::ZERO;
                if !prefilling {
                    self.admission.token(interval);
                }
                self.pace.token(interval, running, prefilling);
            }
            None => {
                progress.first_token = Some(now);
                let elapsed = now.saturating_duration_since(progress.started);
                let (ahead, own) = (progress.ahead, progress.own);
                self.pace.prefill(ahead, elapsed, running);
                self.admission
                    .first_token(elapsed, self.pace.nominal_prefill(own));
                if let Some(share) = job.share.as_mut() {
                    self.admission.prefill_done(share);
                }
                self.cache.record_prompt(Self::block_hashes(job));
                self.cache.watch(&job.note.prefixes);
                self.reports.mark();
            }
        }
    }

    /// Ends a chat answer that the engine marked as complete.
    fn run_complete(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        if let Some(usage) = job.progress.usage.filter(|_| job.runs == 1) {
            let hashes = Self::block_hashes(job);
            self.cache.record_cached_tokens(hashes, usage.cached_tokens);
        }
        self.close_run(request);
        if let Some(job) = self.jobs.get_mut(request) {
            let repeated = job.tally.computed.saturating_sub(job.tally.needed);
            self.pace.output(job.tokens, job.terms.output_tokens);
            let event = counters::CounterEvent::WastedPrefillSuspended;
            self.counters.add(event, repeated);
            job.answer.finish_whole();
        }
        self.end(request);
    }

    fn run_ended(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        self.pace.progress(self.now);
        // A stream of tokens is complete only if it says so itself.
        if job.reader.is_some() {
            self.run_failed(request, reasons::Outcome::Unknown);
            return;
        }
        self.close_run(request);
        if let Some(job) = self.jobs.get_mut(request) {
            job.answer.finish_whole();
        }
        self.end(request);
    }

    fn run_failed(&mut self, request: ids::RequestId, outcome: reasons::Outcome) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        // What an earlier run of a resumed generation did can't be undone.
        let outcome = match job.runs > 1 {
            true => reasons::Outcome::Unknown,
            false => outcome,
        };
        self.close_run(request);
        let wasted = self.jobs.get(request).map_or(0, |job| job.tally.computed);
        self.counters
            .add(counters::CounterEvent::WastedPrefillLost, wasted);
        self.counters.refuse(reasons::RefusalReason::EndpointFailed);
        self.end_broken(request, reasons::RefusalReason::EndpointFailed, outcome);
    }

    pub(super) fn end_broken(
        &mut self,
        request: ids::RequestId,
        reason: reasons::RefusalReason,
        outcome: reasons::Outcome,
    ) {
        if let Some(job) = self.jobs.get_mut(request) {
            job.answer.finish_broken(reason.as_str(), outcome.as_str());
        }
        self.end(request);
        self.deliver(request);
    }

    /// Ends a request: the body is freed, and the result of a claimed one is made durable.
    fn end(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.stage = jobs::JobStage::Ended(self.now);
        job.call = None;
        job.reader = None;
        job.kv = None;
        self.jobs.close(request);
        self.complete_claim(request);
        self.reports.mark();
    }

    /// Returns the time in which the endpoint is expected to report something; `None` if nothing
    /// runs that reports progress.
    pub(super) fn event_due(&self) -> Option<std::time::Duration> {
        let running = self.jobs.open().map(|(_, job)| job);
        let running = running.filter(|job| job.run().is_some() && job.reader.is_some());
        let generating = running
            .clone()
            .any(|job| job.progress.first_token.is_some());
        if generating {
            // A prefill of another request may hold the batch for its whole length.
            let pending = self.pace.prefill_time(self.admission.pending());
            return Some(self.pace.generation_time(units::TokenCount(4)) + pending);
        }
        running
            .map(|job| self.pace.prefill_time(job.progress.ahead))
            .min()
    }
}
