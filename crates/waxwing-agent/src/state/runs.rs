//! Runs: single calls to the endpoint, their events, and how they end.

use bytes::Bytes;
use waxwing_core::{counters, ids, reasons, units};
use waxwing_wire::messages;

use crate::{events, formats, jobs, state};

/// The first HTTP status above the success range, which starts at 200.
const FIRST_REDIRECT: u16 = 300;

impl state::AgentCore {
    /// Starts the next run of a request that holds a reservation.
    pub(super) fn start_run(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        let own_prefill = self.expected_prefill(job);
        let run = events::RunId(self.next_run);
        self.next_run += 1;
        if self.runs.is_empty() {
            self.pace.record_progress(self.now);
        }
        let running = self.jobs.open().filter(|(_, job)| job.run().is_some());
        let reservations = running.filter_map(|(_, job)| job.reservation);
        let prefill_ahead = reservations.fold(own_prefill, |prefill_ahead, reservation| {
            prefill_ahead + reservation.prefill
        });
        let progress = jobs::RunProgress {
            own_prefill,
            prefill_ahead,
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
            request_id: request.to_string(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.format.body(job.tokens),
            import: job.kv.take(),
        };
        self.runs.insert(run, request);
        self.counters.count(counters::CounterEvent::Dispatches);
        self.outputs.push(events::AgentOutput::Start { run, call });
        self.reports.mark_changed();
    }

    /// Cancels the run of a request, if it has one, releases its reservation and accounts for the
    /// prefill it computed, estimated where the engine reported no usage. The request does not run
    /// again until the endpoint has confirmed the cancellation, which would otherwise cancel the
    /// later run: all runs of a request share one id at the endpoint.
    pub(super) fn stop_run(&mut self, request: ids::RequestId, export: bool) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        if let Some(run) = job.run() {
            self.stopping.insert(run, request);
            let request_id = request.to_string();
            self.outputs.push(events::AgentOutput::Stop {
                run,
                request_id,
                export,
            });
        }
        self.close_run(request);
    }

    /// Releases what a run holds and accounts for its prefill, however it ended.
    pub(super) fn close_run(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        if let Some(reservation) = job.reservation.take() {
            self.admission.release(reservation);
        }
        let Some(run) = job.run() else {
            return;
        };
        if self.runs.remove(&run).is_none() {
            return;
        }
        let elapsed = self.now.saturating_duration_since(job.progress.started);
        let estimate = match job.progress.first_token {
            Some(_) => job.progress.own_prefill.0,
            None => {
                let possible = self.pace.expected_prefill_rate().0 * elapsed.as_secs_f64();
                job.progress.own_prefill.0.min(possible as u64)
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
            job.prefill_totals.computed += computed;
            if job.runs == 1 {
                let first_prefill = usage.map_or(job.progress.own_prefill.0, |_| computed);
                job.prefill_totals.needed = first_prefill;
            }
        }
        self.reports.mark_changed();
    }

    pub(super) fn endpoint_event(&mut self, run: events::RunId, event: events::EndpointEvent) {
        let Some(request) = self.runs.get(&run).copied() else {
            self.stopped_run_event(run, event);
            return;
        };
        match event {
            events::EndpointEvent::Head { status, headers } => {
                self.run_head(request, status, headers);
            }
            events::EndpointEvent::Data(data) => self.run_data(request, data),
            events::EndpointEvent::Ended => self.run_ended(request),
            events::EndpointEvent::NotSent => {
                self.mark_endpoint_suspect();
                self.run_failed(request, reasons::Outcome::NotRun);
            }
            events::EndpointEvent::Failed => {
                self.mark_endpoint_suspect();
                self.run_failed(request, reasons::Outcome::Unknown);
            }
        }
        self.deliver(request);
    }

    /// Processes data that a suspended run still delivers until the endpoint has confirmed its
    /// cancellation. It is part of the answer, and may even complete it.
    fn stopped_run_event(&mut self, run: events::RunId, event: events::EndpointEvent) {
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
        let chunk = reader.read(&data);
        job.tokens += chunk.tokens;
        job.answer.push(Bytes::from(chunk.data));
        if chunk.done {
            job.answer.finish_complete();
            self.end_job(request);
        }
        self.deliver(request);
    }

    fn mark_endpoint_suspect(&mut self) {
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
            // The engine refused to resume, and the caller already has part of the answer.
            self.stop_run(request, false);
            self.run_failed(request, reasons::Outcome::Unknown);
            return;
        }
        if !success {
            // An error response is passed through unchanged; it is not a token stream.
            job.reader = None;
        }
        let streaming = match job.call.as_ref().map(|call| &call.format) {
            Some(formats::CallFormat::Chat(chat)) if success => Some(chat.wants_stream()),
            _ => None,
        };
        let headers = streaming.map_or(headers, formats::chat_headers);
        job.answer.set_head(u32::from(status), headers);
    }

    fn run_data(&mut self, request: ids::RequestId, data: Bytes) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        let Some(reader) = job.reader.as_mut() else {
            job.answer.push(data);
            self.pace.record_progress(self.now);
            return;
        };
        let chunk = reader.read(&data);
        job.answer.push(Bytes::from(chunk.data));
        job.progress.usage = chunk.usage.or(job.progress.usage);
        if chunk.tokens > 0 {
            self.record_tokens(request, chunk.tokens);
        }
        if chunk.broken {
            self.stop_run(request, false);
            self.run_failed(request, reasons::Outcome::Unknown);
        } else if chunk.done {
            self.run_complete(request);
        }
    }

    fn record_tokens(&mut self, request: ids::RequestId, tokens: u64) {
        let now = self.now;
        let running = self.runs.len();
        self.pace.record_progress(now);
        self.stall_backoff = state::StallBackoff::default();
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.tokens += tokens;
        let progress = &mut job.progress;
        match progress.last_token.replace(now) {
            Some(last) => {
                let interval = now.saturating_duration_since(last) / tokens.max(1) as u32;
                let prefilling = self.admission.pending_prefill() > units::TokenCount::ZERO;
                if !prefilling {
                    self.admission.record_token_interval(interval);
                }
                self.pace.record_token(interval, running, prefilling);
            }
            None => {
                progress.first_token = Some(now);
                let elapsed = now.saturating_duration_since(progress.started);
                let (prefill_ahead, own_prefill) = (progress.prefill_ahead, progress.own_prefill);
                self.pace.record_prefill(prefill_ahead, elapsed, running);
                self.admission
                    .record_first_token(elapsed, self.pace.nominal_prefill_time(own_prefill));
                if let Some(reservation) = job.reservation.as_mut() {
                    self.admission.prefill_done(reservation);
                }
                self.cache.record_prompt(Self::block_hashes(job));
                self.cache.watch(&job.details.prefixes);
                self.reports.mark_changed();
            }
        }
    }

    /// Ends a chat answer whose stream the engine has terminated with `[DONE]`.
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
            let repeated = job
                .prefill_totals
                .computed
                .saturating_sub(job.prefill_totals.needed);
            self.pace.record_output(job.tokens, job.terms.output_tokens);
            let event = counters::CounterEvent::WastedPrefillSuspended;
            self.counters.add(event, repeated);
            job.answer.finish_complete();
        }
        self.end_job(request);
    }

    fn run_ended(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        self.pace.record_progress(self.now);
        // A token stream without its end marker `[DONE]` is incomplete.
        if job.reader.is_some() {
            self.run_failed(request, reasons::Outcome::Unknown);
            return;
        }
        self.close_run(request);
        if let Some(job) = self.jobs.get_mut(request) {
            job.answer.finish_complete();
        }
        self.end_job(request);
    }

    fn run_failed(&mut self, request: ids::RequestId, outcome: reasons::Outcome) {
        let Some(job) = self.jobs.get(request) else {
            return;
        };
        // The earlier run of a resumed generation did run, whatever happened to this one.
        let outcome = match job.runs > 1 {
            true => reasons::Outcome::Unknown,
            false => outcome,
        };
        self.close_run(request);
        let wasted = self
            .jobs
            .get(request)
            .map_or(0, |job| job.prefill_totals.computed);
        self.counters
            .add(counters::CounterEvent::WastedPrefillLost, wasted);
        self.counters
            .count_refusal(reasons::RefusalReason::EndpointFailed);
        self.end_incomplete(request, reasons::RefusalReason::EndpointFailed, outcome);
    }

    pub(super) fn end_incomplete(
        &mut self,
        request: ids::RequestId,
        reason: reasons::RefusalReason,
        outcome: reasons::Outcome,
    ) {
        if let Some(job) = self.jobs.get_mut(request) {
            job.answer
                .finish_incomplete(reason.as_str(), outcome.as_str());
        }
        self.end_job(request);
        self.deliver(request);
    }

    /// Ends a request: frees its body and, if it has a claim, sends the result to be made durable.
    fn end_job(&mut self, request: ids::RequestId) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        job.stage = jobs::JobStage::Ended(self.now);
        job.call = None;
        job.reader = None;
        job.kv = None;
        self.jobs.close(request);
        self.complete_claim(request);
        self.reports.mark_changed();
    }

    /// Returns the time within which the endpoint is expected to send the next token; `None` if no
    /// token stream is running.
    pub(super) fn expected_event_interval(&self) -> Option<std::time::Duration> {
        let running = self.jobs.open().map(|(_, job)| job);
        let running = running.filter(|job| job.run().is_some() && job.reader.is_some());
        let generating = running
            .clone()
            .any(|job| job.progress.first_token.is_some());
        if generating {
            // The prefill of another request may stall the whole batch until it is done.
            let pending = self.pace.prefill_time(self.admission.pending_prefill());
            return Some(self.pace.generation_time(units::TokenCount(4)) + pending);
        }
        running
            .map(|job| self.pace.prefill_time(job.progress.prefill_ahead))
            .min()
    }
}
