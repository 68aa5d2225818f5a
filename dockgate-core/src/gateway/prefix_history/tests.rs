use super::*;

const ENGINE: EndpointId = EndpointId(1);
const OLD: BoxKey = BoxKey(1);
const NEW: BoxKey = BoxKey(2);

fn prompt(subject: u64, own: u64) -> Vec<PromptPart> {
    [7, subject, own]
        .map(|id| PromptPart { id, tokens: 100 })
        .to_vec()
}

fn moved(owner: BoxKey, told: BoxKey) -> bool {
    owner != told
}

#[test]
fn a_new_owner_is_told_each_chain_once() {
    let mut log = PrefixHistory::default();
    for own in 0..5 {
        log.note(ENGINE, OLD, &prompt(10, own));
        log.note(ENGINE, OLD, &prompt(11, own));
    }
    assert_eq!(log.take_reports(|_| Some(OLD), moved), Vec::new());
    let due = log.take_reports(|_| Some(NEW), moved);
    let chains: Vec<&[PromptPart]> = due.iter().map(|due| &due.parts[..]).collect();
    assert_eq!(chains, [&prompt(10, 0)[..2], &prompt(11, 0)[..2]]);
    assert!(
        due.iter()
            .all(|due| due.owner == NEW && due.endpoint == ENGINE)
    );
    assert_eq!(
        log.take_reports(|_| Some(NEW), moved),
        Vec::new(),
        "it has been told"
    );
    assert_eq!(
        log.take_reports(|_| Some(NEW), |_, _| true).len(),
        2,
        "a new life of it has not"
    );
}

#[test]
fn only_the_newest_chains_and_living_engines_are_remembered() {
    let mut log = PrefixHistory::default();
    for subject in 0..100 {
        log.note(ENGINE, OLD, &prompt(subject, 0));
    }
    assert_eq!(
        log.take_reports(|_| Some(NEW), moved).len(),
        PrefixHistory::MOST_CHAINS
    );
    assert!(log.take_reports(|_| None, |_, _| true).is_empty());
    assert!(
        log.take_reports(|_| Some(OLD), |_, _| true).is_empty(),
        "the engine has gone"
    );
}
