//! Delivery of answers to entries: flow-control windows, acknowledgement, resumption, and the limit
//! on buffered bytes; see `docs/design.md`, section 5.

use waxwing_core::{counters, ids, reasons};
use waxwing_wire::messages;

use crate::{answers, events, jobs, state};

impl state::AgentCore {
    /// Sends as much of an answer as its window allows. While the entry is slow, reading from the
    /// endpoint pauses, so that one slow caller can't fill the agent's memory.
    pub(super) fn deliver(&mut self, request: ids::RequestId) {
        let window = self.limits.unacknowledged_bytes.0;
        while let Some((link, part)) = self.next_part(request, window) {
            let bytes = request.to_bytes().to_vec();
            let body = match part {
                answers::AnswerPart::Head(status, headers) => {
                    messages::Body::AnswerHead(messages::AnswerHead {
                        request: bytes,
                        status,
                        headers,
                    })
                }
                answers::AnswerPart::Chunk(offset, data, end) => {
                    messages::Body::AnswerChunk(messages::AnswerChunk {
                        request: bytes,
                        offset,
                        data,
                        end,
                    })
                }
            };
            self.send(link, 0, body);
        }
        self.update_backpressure(request, window);
    }

    fn next_part(
        &mut self,
        request: ids::RequestId,
        window: u64,
    ) -> Option<(events::LinkId, answers::AnswerPart)> {
        let job = self.jobs.get_mut(request)?;
        let link = job.link?;
        Some((link, job.answer.next_part(window)?))
    }

    fn update_backpressure(&mut self, request: ids::RequestId, window: u64) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        let Some(run) = job.run() else {
            job.paused = false;
            return;
        };
        // A run without a link has no entry that could acknowledge, so it must not pause.
        let window_full = job.link.is_some() && job.answer.unacknowledged() >= window;
        if window_full != job.paused {
            job.paused = window_full;
            self.outputs.push(match window_full {
                true => events::AgentOutput::PauseReading(run),
                false => events::AgentOutput::ResumeReading(run),
            });
        }
    }

    pub(super) fn answer_ack(&mut self, ack: &messages::AnswerAck) {
        let Some(request) = events::request_id(&ack.request) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(request) {
            job.answer.acknowledge(ack.offset);
            self.deliver(request);
        }
    }

    /// Continues an answer over another link, from the offset that the entry requests.
    pub(super) fn resume_answer(&mut self, link: events::LinkId, resume: &messages::Resume) {
        let Some(request) = events::request_id(&resume.request) else {
            return;
        };
        let job = self.jobs.get_mut(request);
        let found = job.is_some_and(|job| {
            let kept = job.answer.rewind(resume.offset);
            if kept {
                job.link = Some(link);
                job.detached = None;
            }
            kept
        });
        if found {
            self.counters.count(counters::CounterEvent::AnswersResumed);
            self.deliver(request);
        } else {
            self.refuse_resumption(link, request, resume.offset);
        }
    }

    fn refuse_resumption(&mut self, link: events::LinkId, request: ids::RequestId, offset: u64) {
        let reason = reasons::RefusalReason::UnknownRequest;
        self.counters.count_refusal(reason);
        let end = messages::AnswerEnd {
            whole: false,
            reason: reason.as_str().to_owned(),
            outcome: reasons::Outcome::Unknown.as_str().to_owned(),
            ..messages::AnswerEnd::default()
        };
        let chunk = messages::AnswerChunk {
            request: request.to_bytes().to_vec(),
            offset,
            end: Some(end),
            ..messages::AnswerChunk::default()
        };
        self.send(link, 0, messages::Body::AnswerChunk(chunk));
    }

    /// Enforces the limit on buffered answer bytes. Acknowledged bytes are freed first, then ended
    /// answers: those without a link before the others, and the earliest ended first.
    pub(super) fn limit_kept_bytes(&mut self) {
        let bound = self.limits.kept_bytes;
        if self.kept_bytes() <= bound {
            return;
        }
        self.jobs
            .all_mut()
            .for_each(|job| job.answer.free_acknowledged());
        let ended = self
            .jobs
            .ended()
            .filter_map(|(request, job)| match job.stage {
                jobs::JobStage::Ended(since) => Some((job.link.is_some(), since, request)),
                _ => None,
            });
        let mut ended: Vec<_> = ended.collect();
        ended.sort_unstable();
        for (_, _, request) in ended {
            if self.kept_bytes() <= bound {
                return;
            }
            if let Some(job) = self.jobs.get_mut(request) {
                job.answer.free_all();
            }
        }
    }

    /// Removes ended requests after their retention and leaves tombstones for them.
    pub(super) fn expire_ended(&mut self) {
        let retention = self.limits.retention();
        let now = self.now;
        let expired = |job: &jobs::Job| match job.stage {
            jobs::JobStage::Ended(since) => now.saturating_duration_since(since) >= retention,
            _ => false,
        };
        let ended = self.jobs.ended().filter(|(_, job)| expired(job));
        let ended: Vec<_> = ended.map(|(request, job)| (request, job.grant)).collect();
        for (request, grant) in ended {
            self.jobs.drop_ended(request);
            self.tombstones.add(request, grant, now);
        }
        self.tombstones.expire(now);
    }
}
