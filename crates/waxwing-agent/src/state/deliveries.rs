//! Answers on their way to entries: windows, acknowledgement, resumption, and the bound on kept
//! bytes; see `docs/design.md`, section 5.

use waxwing_core::{counters, ids, reasons};
use waxwing_wire::messages;

use crate::{answers, events, jobs, state};

impl state::AgentCore {
    /// Sends what the window of an answer allows, and holds the endpoint back where the entry is
    /// slow, so that one slow caller can't fill the agent's memory.
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
        self.hold_back(request, window);
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

    fn hold_back(&mut self, request: ids::RequestId, window: u64) {
        let Some(job) = self.jobs.get_mut(request) else {
            return;
        };
        let Some(run) = job.run() else {
            job.paused = false;
            return;
        };
        // Work that goes on without its entry must not wait for an acknowledgement.
        let full = job.link.is_some() && job.answer.unacknowledged() >= window;
        if full != job.paused {
            job.paused = full;
            self.outputs.push(match full {
                true => events::AgentOutput::Pause(run),
                false => events::AgentOutput::Proceed(run),
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

    /// Sends an answer over another link, from the offset that the entry names.
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
            self.answer_not_kept(link, request, resume.offset);
        }
    }

    fn answer_not_kept(&mut self, link: events::LinkId, request: ids::RequestId, offset: u64) {
        let reason = reasons::RefusalReason::UnknownRequest;
        self.counters.refuse(reason);
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

    /// Keeps the bytes of answers inside their bound: what entries have acknowledged goes first,
    /// then the answers that ended longest ago.
    pub(super) fn bound_kept_bytes(&mut self) {
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

    /// Forgets ended requests after their retention; a tombstone remembers that they were taken.
    pub(super) fn forget_ended(&mut self) {
        let retention = self.limits.retention();
        let now = self.now;
        let over = |job: &jobs::Job| match job.stage {
            jobs::JobStage::Ended(since) => now.saturating_duration_since(since) >= retention,
            _ => false,
        };
        let ended = self.jobs.ended().filter(|(_, job)| over(job));
        let ended: Vec<_> = ended.map(|(request, job)| (request, job.grant)).collect();
        for (request, grant) in ended {
            self.jobs.forget(request);
            self.tombstones.add(request, grant, now);
        }
        self.tombstones.expire(now);
    }
}
