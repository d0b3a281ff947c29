//! Failures that operators of similar systems reported, and the tests that look for each of them
//! here.

/// Whether a reported failure could happen here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// A test showed it, and the fault is fixed.
    Fixed,
    /// The tests passed on the code as it was.
    NotReproduced,
}

impl ReportOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Fixed => "happened, fixed",
            Self::NotReproduced => "not reproduced",
        }
    }
}

/// A test that looks for a reported failure.
#[derive(Debug, PartialEq, Eq)]
pub struct ReportTest {
    /// The path of the test file, relative to the root of the repository.
    pub file: &'static str,
    /// The name of the test function.
    pub test: &'static str,
}

/// A reported failure.
#[derive(Debug, PartialEq, Eq)]
pub struct FieldReport {
    /// What was seen elsewhere.
    pub failure: &'static str,
    /// Whether it could happen here.
    pub outcome: ReportOutcome,
    /// The tests that look for it.
    pub tests: &'static [ReportTest],
}

impl FieldReport {
    /// Returns the label of the outcome.
    #[must_use]
    pub const fn outcome_label(&self) -> &'static str {
        self.outcome.label()
    }
}

const fn faulty_answers(test: &'static str) -> ReportTest {
    ReportTest {
        file: "platform/tests/faulty_answers.rs",
        test,
    }
}

/// All reports.
pub const ALL: &[FieldReport] = &[
    FieldReport {
        failure: "a second copy of an answer came late, on a connection in use again, and reached the next caller",
        outcome: ReportOutcome::NotReproduced,
        tests: &[
            faulty_answers("second_copy_of_an_answer_reaches_no_other_caller"),
            faulty_answers("repeated_refusal_does_not_count_for_a_later_request"),
        ],
    },
    FieldReport {
        failure: "in a planned stop under load, requests that had just been accepted were cut without an answer",
        outcome: ReportOutcome::NotReproduced,
        tests: &[ReportTest {
            file: "platform/tests/planned_stop.rs",
            test: "stop_under_load_cuts_nothing_that_was_passed_on",
        }],
    },
    FieldReport {
        failure: "slow but sound streams were cut, and stalled ones that sent a byte now and then never ended",
        outcome: ReportOutcome::Fixed,
        tests: &[
            faulty_answers("slow_stream_without_another_endpoint_is_left_alone"),
            faulty_answers("stream_of_single_bytes_is_resumed_elsewhere"),
        ],
    },
    FieldReport {
        failure: "after a restart of a process, an endpoint that had left or a key that had been withdrawn was in use again",
        outcome: ReportOutcome::NotReproduced,
        tests: &[
            ReportTest {
                file: "platform/tests/restarts.rs",
                test: "endpoint_that_has_left_gets_no_requests_after_a_restart",
            },
            ReportTest {
                file: "platform/tests/restarts.rs",
                test: "withdrawn_key_is_refused_after_a_restart",
            },
        ],
    },
    FieldReport {
        failure: "one malformed message or unexpected error took a whole process down",
        outcome: ReportOutcome::Fixed,
        tests: &[
            ReportTest {
                file: "platform/tests/odd_requests.rs",
                test: "odd_header_does_not_stop_the_entry",
            },
            ReportTest {
                file: "crates/waxwing-gate/tests/gate.rs",
                test: "absurd_counts_of_other_entries_do_not_end_the_process",
            },
        ],
    },
    FieldReport {
        failure: "a host that was only silent or slow to report had its running work started again elsewhere, or given up",
        outcome: ReportOutcome::Fixed,
        tests: &[
            faulty_answers("late_answer_is_awaited_where_no_other_endpoint_is_free"),
            ReportTest {
                file: "crates/waxwing-gate/tests/gate.rs",
                test: "request_with_nowhere_to_go_is_refused_at_once",
            },
        ],
    },
    FieldReport {
        failure: "an endpoint closed within the head of its answer, and callers got an empty or short success",
        outcome: ReportOutcome::NotReproduced,
        tests: &[faulty_answers(
            "answer_that_ends_within_its_head_is_no_success",
        )],
    },
    FieldReport {
        failure: "in a planned stop of one entry, requests that came late in the grace period were passed on and cut at its end",
        outcome: ReportOutcome::Fixed,
        tests: &[ReportTest {
            file: "crates/waxwing-conduit/tests/stopping.rs",
            test: "requests_that_may_be_cut_off_by_the_stop_are_not_started",
        }],
    },
];
