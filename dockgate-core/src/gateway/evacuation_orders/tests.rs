use super::*;
use proptest::prelude::*;

const A: DomainKey = DomainKey(1);
const B: DomainKey = DomainKey(2);

fn order(domain: DomainKey, era: u64, number: u64, is_active: bool) -> EvacuationOrder {
    EvacuationOrder {
        domain,
        revision: StoreRevision::new(era, number),
        is_active,
    }
}

#[test]
fn newest_order_wins() {
    let mut orders = EvacuationOrders::default();
    assert!(orders.apply(order(A, 1, 5, true)).is_some());
    assert!(orders.apply(order(B, 1, 6, true)).is_some());
    assert!(orders.apply(order(A, 1, 7, false)).is_some());
    assert!(orders.apply(order(A, 1, 5, true)).is_none());
    assert!(!orders.is_evacuated(A));
    assert!(orders.is_evacuated(B));
}

#[test]
fn repeated_order_is_no_change() {
    let mut orders = EvacuationOrders::default();
    orders.apply(order(A, 1, 5, true));
    assert!(orders.apply(order(A, 1, 8, true)).is_none());
    assert!(orders.apply(order(A, 1, 7, false)).is_none());
    assert!(orders.is_evacuated(A));
}

#[test]
fn order_missing_from_a_list_was_taken_back() {
    let mut orders = EvacuationOrders::default();
    orders.apply(order(A, 1, 5, true));
    let listed = vec![order(B, 1, 6, true)];
    let changed = orders.replace(listed, StoreRevision::new(1, 9), 0);
    assert_eq!(changed, [order(A, 1, 9, false), order(B, 1, 6, true)]);
    assert!(!orders.is_evacuated(A));
    assert!(orders.is_evacuated(B));
}

#[test]
fn order_that_a_restored_store_lacks_stays_in_force_until_it_is_written_again() {
    let mut orders = EvacuationOrders::default();
    orders.apply(order(A, 1, 50, true));
    orders.apply(order(B, 1, 51, true));
    assert!(
        orders
            .replace(Vec::new(), StoreRevision::new(2, 40), 1_000)
            .is_empty()
    );
    assert!(orders.apply(order(A, 2, 41, true)).is_none());
    assert!(orders.expire(2_999).is_empty());
    assert_eq!(orders.expire(3_000), [order(B, 2, 40, false)]);
    assert!(orders.is_evacuated(A));
    assert!(!orders.is_evacuated(B));
}

#[test]
fn number_of_orders_is_bounded() {
    let mut orders = EvacuationOrders::default();
    for domain in 0..1_000 {
        orders.apply(order(DomainKey(domain), 1, u64::from(domain) + 1, false));
    }
    assert_eq!(orders.iter().count(), EvacuationOrders::MAX_DOMAINS);
    assert!(orders.iter().any(|order| order.domain == DomainKey(999)));
}

proptest! {
    /// Boxes that have received the same orders agree, whatever the sequence and repetitions.
    #[test]
    fn boxes_agree_in_any_sequence(
        orders in prop::collection::vec((0_u32..3, 0_u64..2, 0_u64..12), 1..24),
        seed in any::<u64>(),
    ) {
        let orders = orders.into_iter().map(|(domain, era, number)| {
            // Whether an order is active depends on its revision, as in the store's history.
            order(DomainKey(domain), era, number, number % 2 == 0)
        });
        let orders: Vec<EvacuationOrder> = orders.collect();
        let mut shuffled = orders.clone();
        shuffled.sort_by_key(|order| {
            let number = order.revision.number.wrapping_mul(seed | 1);
            number.wrapping_add(u64::from(order.domain.0) ^ seed)
        });
        let known = |orders: &[EvacuationOrder]| {
            let mut known = EvacuationOrders::default();
            for order in orders.iter().chain(orders) {
                known.apply(*order);
            }
            known.iter().collect::<Vec<EvacuationOrder>>()
        };
        prop_assert_eq!(known(&orders), known(&shuffled));
    }
}
