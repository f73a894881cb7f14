//! Tests of the report encoding: round trips, truncation of observations, and invalid input.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn decoding_returns_the_encoded_report_with_the_observations_that_fit(
        zone: u8, clock_ms: u64, plan_number: u32, map_epoch: u32,
        observations in proptest::collection::vec(any::<(u8, u8, u8, u8, u8)>(), 0..20),
    ) {
        let observation = |(zone, reached, failed, unreachable_tenths_s, state)| SiteObservation { zone, reached, failed, unreachable_tenths_s, state };
        let report = SiteReport { zone, clock_ms, plan_number, map_epoch, observations: observations.into_iter().map(observation).collect() };
        let bytes = report.encode();
        prop_assert!(bytes.len() <= MAX_BYTES);
        let decoded = SiteReport::decode(&bytes).unwrap();
        prop_assert!(report.observations.starts_with(&decoded.observations) && decoded.observations.len() >= report.observations.len().min(6));
        prop_assert_eq!(SiteReport { observations: report.observations.clone(), ..decoded }, report);
    }

    #[test]
    fn decoding_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        let _ = SiteReport::decode(&bytes);
    }
}

#[test]
fn another_version_an_empty_body_and_a_report_that_is_too_long_are_rejected() {
    let mut bytes = SiteReport::default().encode();
    bytes[0] = 9;
    assert_eq!(SiteReport::decode(&bytes), Err(SiteReportError::Version(9)));
    assert_eq!(SiteReport::decode(&[VERSION]), Err(SiteReportError::Encoding));
    assert_eq!(SiteReport::decode(&[0; 65]), Err(SiteReportError::Length(65)));
}
