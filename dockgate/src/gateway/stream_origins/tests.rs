use super::*;
use StreamOrigin::{Known, OnlyVersion, SeveralVersions, Unknown};
use proptest::prelude::*;

fn any_origin() -> impl Strategy<Value = StreamOrigin> {
    let version = || (0_u64..3).prop_map(SoftwareVersion);
    prop_oneof![
        version().prop_map(Known),
        version().prop_map(OnlyVersion),
        Just(Unknown),
        Just(SeveralVersions)
    ]
}

proptest! {
    /// Guards against a stream that goes on at the only version that one box knows, while another
    /// box knows of a further one.
    #[test]
    fn only_version_requires_that_no_box_knows_another(
        origins in proptest::collection::vec(any_origin(), 0..9),
    ) {
        let combined = origins.iter().copied().fold(Unknown, combine_origins);
        let has_known = origins.iter().any(|origin| matches!(origin, Known(_)));
        let others = |version| origins.iter().any(|origin| match origin {
            OnlyVersion(other) => *other != version,
            SeveralVersions => true,
            Known(_) | Unknown => false,
        });
        match combined {
            Known(version) => prop_assert!(origins.contains(&Known(version))),
            OnlyVersion(version) => {
                prop_assert!(!has_known && !others(version));
                prop_assert!(origins.contains(&OnlyVersion(version)));
            }
            SeveralVersions => prop_assert!(!has_known),
            Unknown => prop_assert!(origins.iter().all(|origin| *origin == Unknown)),
        }
    }
}
