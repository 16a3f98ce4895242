//! Retries of requests, and their outcome after several attempts.

use rstest::rstest;
use turmeric_types::{RefusalProof, RequestOutcome};

const NOT_RUN: RequestOutcome<u8> = RequestOutcome::NotRun(RefusalProof::NeverSent);

#[rstest]
#[case(RequestOutcome::Answered(1), false, false)]
#[case(RequestOutcome::Answered(1), true, false)]
#[case(NOT_RUN, false, true)]
#[case(RequestOutcome::Unknown, false, false)]
#[case(RequestOutcome::Unknown, true, true)]
fn request_is_retried_only_if_idempotent_or_certainly_not_run(
    #[case] outcome: RequestOutcome<u8>,
    #[case] is_idempotent: bool,
    #[case] expected: bool,
) {
    assert_eq!(outcome.may_retry(is_idempotent), expected);
}

#[rstest]
#[case(RequestOutcome::Answered(1), RequestOutcome::Answered(1))]
#[case(NOT_RUN, RequestOutcome::Unknown)]
#[case(RequestOutcome::Unknown, RequestOutcome::Unknown)]
fn refusal_after_an_unknown_attempt_stays_unknown(
    #[case] last: RequestOutcome<u8>,
    #[case] expected: RequestOutcome<u8>,
) {
    assert_eq!(last.after_unknown(), expected);
}
