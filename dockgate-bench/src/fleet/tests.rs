use super::{LOOPBACK_NETWORKS, loopback_network};
use std::collections::HashSet;

/// Guards against concurrent fleets of one process on the same addresses.
#[test]
fn fleets_of_a_process_have_different_networks() {
    for process in 0..LOOPBACK_NETWORKS {
        let networks = (0..LOOPBACK_NETWORKS).map(|index| loopback_network(process, index));
        let distinct: HashSet<u8> = networks.collect();
        assert_eq!(
            distinct.len(),
            LOOPBACK_NETWORKS as usize,
            "process {process}"
        );
    }
}
