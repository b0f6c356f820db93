//! Requests refused for the regions of their data.

use super::{RegionRefusal, check};
use brasspond_fleet::Regions;
use rstest::rstest;

#[rstest]
#[case::anywhere(Regions::Any, Some(true), Ok(()))]
#[case::inside(Regions::only(["north"]), Some(true), Ok(()))]
#[case::members_elsewhere(Regions::only(["north"]), Some(false), Err(RegionRefusal::Members))]
#[case::nobody_told(Regions::only(["north"]), None, Err(RegionRefusal::MembersUnknown))]
#[case::none_shared(
    Regions::only(["north"]).and(&Regions::only(["south"])),
    Some(true),
    Err(RegionRefusal::NoRegionShared)
)]
fn a_request_is_refused_by_what_is_known(
    #[case] regions: Regions,
    #[case] may_hold: Option<bool>,
    #[case] expected: Result<(), RegionRefusal>,
) {
    assert_eq!(check(&regions, may_hold), expected);
}
