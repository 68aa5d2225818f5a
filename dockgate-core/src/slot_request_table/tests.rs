use super::*;

const POOL: PoolKey = PoolKey(1);
const WORKSPACE: WorkspaceKey = WorkspaceKey(1);
const SCHEDULER: BoxKey = BoxKey(5);

fn told(book: &mut SlotRequestTable, waiting: usize) -> Option<u32> {
    book.update(POOL, WORKSPACE, waiting, &[SCHEDULER])
        .first()
        .map(|update| update.waiting)
}

#[test]
fn seeks_are_sent_only_when_they_matter() {
    let mut book = SlotRequestTable::default();
    assert_eq!(told(&mut book, 0), None);
    assert_eq!(told(&mut book, 1), Some(1));
    assert_eq!(told(&mut book, 2), None);
    assert_eq!(told(&mut book, 4), Some(4));
    book.granted(POOL, WORKSPACE, SCHEDULER);
    assert_eq!(told(&mut book, 3), None);
    assert_eq!(told(&mut book, 0), Some(0));
    assert_eq!(told(&mut book, 0), None);
}

#[test]
fn a_scheduler_that_believes_nothing_is_told_at_once() {
    let mut book = SlotRequestTable::default();
    told(&mut book, 1);
    book.granted(POOL, WORKSPACE, SCHEDULER);
    assert_eq!(told(&mut book, 1), Some(1));
    book.forget(SCHEDULER);
    assert_eq!(told(&mut book, 1), Some(1));
    assert_eq!(book.believers(POOL, WORKSPACE), [SCHEDULER]);
}
