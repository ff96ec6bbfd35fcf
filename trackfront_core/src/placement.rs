//! Which items go on which engine of a shard.
//!
//! A model and its adapters form a bundle that is placed on one engine. What is held anywhere
//! stays where it is, so that a steady shard has no moves.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::{BackendId, ItemKey};
use crate::ledger::{EngineLedger, Holding};
use crate::order::Action;
use crate::units::Mib;

/// An item and the memory that it takes in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizedItem {
    /// The item.
    pub item: ItemKey,
    /// The memory over all accelerators together.
    pub total: Mib,
}

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// The model first, then its adapters.
    pub items: Vec<SizedItem>,
}

impl Bundle {
    /// Returns the memory that the bundle takes on each of `accelerators` accelerators.
    pub fn per_accelerator(&self, accelerators: usize) -> Mib {
        self.items.iter().map(|sized| sized.total.split(accelerators)).sum()
    }

    /// Returns the model's own item.
    pub fn model(&self) -> &ItemKey {
        &self.items[0].item
    }
}

/// The free room of an engine, for packing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The engine.
    pub engine: BackendId,
    /// How many accelerators an item is spread over.
    pub accelerators: usize,
    /// What is free on each accelerator.
    pub free: Mib,
}

/// The bundles do not fit.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{item} needs {wanted} on each accelerator and no engine has more than {largest} left")]
pub struct PackError {
    /// The model of the bundle that found no place.
    pub item: ItemKey,
    /// What it needs on each accelerator of the roomiest engine.
    pub wanted: Mib,
    /// The largest free room at that point.
    pub largest: Mib,
}

/// Packs `bundles` into `rooms`, the largest first, each on the engine with the most room.
///
/// Returns the engine for each bundle, in the order given. Where spreading does not fit, the
/// tightest engine that fits is tried for all.
pub fn pack(rooms: &[Room], bundles: &[Bundle]) -> Result<Vec<BackendId>, PackError> {
    pack_by(rooms, bundles, Choice::MostRoom).or_else(|_| pack_by(rooms, bundles, Choice::Tightest))
}

/// Which of the engines that fit is taken.
#[derive(Clone, Copy)]
enum Choice {
    MostRoom,
    Tightest,
}

fn pack_by(
    rooms: &[Room],
    bundles: &[Bundle],
    choice: Choice,
) -> Result<Vec<BackendId>, PackError> {
    let mut rooms = rooms.to_vec();
    let mut order: Vec<usize> = (0..bundles.len()).collect();
    order.sort_by_key(|&index| {
        (Reverse(bundles[index].per_accelerator(1)), bundles[index].model().clone())
    });
    let mut chosen = vec![None; bundles.len()];
    for index in order {
        let engine = choose_room(&mut rooms, &bundles[index], choice)?;
        chosen[index] = Some(engine);
    }
    Ok(chosen.into_iter().flatten().collect())
}

/// Takes the room for one bundle.
fn choose_room(
    rooms: &mut [Room],
    bundle: &Bundle,
    choice: Choice,
) -> Result<BackendId, PackError> {
    let largest = rooms.iter().max_by_key(|room| room.free).cloned();
    let fitting =
        rooms.iter_mut().filter(|room| bundle.per_accelerator(room.accelerators) <= room.free);
    let room = match choice {
        Choice::MostRoom => fitting.max_by_key(|room| (room.free, Reverse(room.engine.clone()))),
        Choice::Tightest => fitting.min_by_key(|room| (room.free, room.engine.clone())),
    };
    let Some(room) = room else {
        let accelerators = largest.as_ref().map_or(1, |room| room.accelerators);
        return Err(PackError {
            item: bundle.model().clone(),
            wanted: bundle.per_accelerator(accelerators),
            largest: largest.map(|room| room.free).unwrap_or_default(),
        });
    };
    room.free = room.free - bundle.per_accelerator(room.accelerators);
    Ok(room.engine.clone())
}

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// How many accelerators an item is spread over.
    pub accelerators: usize,
    /// What is counted there.
    pub ledger: EngineLedger,
    /// Whether the engine answers and stays; nothing is loaded elsewhere.
    pub usable: bool,
}

/// One order that the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: BackendId,
    /// What to do.
    pub action: Action,
    /// With what.
    pub item: ItemKey,
    /// The memory on each accelerator.
    pub per_accelerator: Mib,
    /// Why.
    pub cause: String,
}

/// Plans the moves that bring a shard to its tree: every bundle on one engine, nothing else.
///
/// Items that are held on a usable engine stay. An item that left the tree is unloaded once
/// the version that replaces it answers. A bundle for which there is no room is left out and
/// tried again in the next round; `check` has made sure that there is room with one box lost.
pub fn plan(engines: &BTreeMap<BackendId, EngineState>, bundles: &[Bundle]) -> Vec<Move> {
    let mut moves = Vec::new();
    plan_loads(engines, bundles, &mut moves);
    plan_unloads(engines, bundles, &mut moves);
    moves
}

/// Plans the loads of all that is held nowhere.
fn plan_loads(
    engines: &BTreeMap<BackendId, EngineState>,
    bundles: &[Bundle],
    moves: &mut Vec<Move>,
) {
    let mut rooms: Vec<Room> = engines
        .iter()
        .filter(|(_, engine)| engine.usable)
        .map(|(id, engine)| Room {
            engine: id.clone(),
            accelerators: engine.accelerators,
            free: engine.ledger.free(),
        })
        .collect();
    let mut missing: Vec<(Option<BackendId>, Bundle)> =
        bundles.iter().filter_map(|bundle| missing_part(engines, bundle)).collect();
    missing.sort_by_key(|(_, part)| Reverse(part.per_accelerator(1)));
    for (home, part) in missing {
        let at_home: &mut [Room] = match &home {
            Some(home) => match rooms.iter().position(|room| room.engine == *home) {
                Some(index) => &mut rooms[index..=index],
                None => continue,
            },
            None => &mut rooms,
        };
        let Ok(engine) = choose_room(at_home, &part, Choice::MostRoom) else {
            log::warn!("there is no room for {} now; it is tried again", part.model());
            continue;
        };
        let accelerators = engines[&engine].accelerators;
        moves.extend(part.items.into_iter().map(|sized| Move {
            engine: engine.clone(),
            action: Action::Load,
            item: sized.item,
            per_accelerator: sized.total.split(accelerators),
            cause: "in the tree and on no engine".into(),
        }));
    }
}

/// Returns the part of `bundle` that is held nowhere, and the engine it has to go to if the
/// rest of the bundle is there.
fn missing_part(
    engines: &BTreeMap<BackendId, EngineState>,
    bundle: &Bundle,
) -> Option<(Option<BackendId>, Bundle)> {
    let Some(home) = home_of(engines, bundle.model()) else {
        return Some((None, bundle.clone()));
    };
    let ledger = &engines[home].ledger;
    let items: Vec<SizedItem> = bundle
        .items
        .iter()
        .filter(|sized| ledger.holding(&sized.item).is_none())
        .cloned()
        .collect();
    (!items.is_empty()).then(|| (Some(home.clone()), Bundle { items }))
}

/// Returns the usable engine that holds `item` and keeps it.
fn home_of<'a>(
    engines: &'a BTreeMap<BackendId, EngineState>,
    item: &ItemKey,
) -> Option<&'a BackendId> {
    engines
        .iter()
        .filter(|(_, engine)| engine.usable)
        .find(|(_, engine)| {
            matches!(engine.ledger.holding(item), Some(Holding::Arriving | Holding::Ready))
        })
        .map(|(id, _)| id)
}

/// Plans the unloads of what is no longer in the tree.
fn plan_unloads(
    engines: &BTreeMap<BackendId, EngineState>,
    bundles: &[Bundle],
    moves: &mut Vec<Move>,
) {
    let wanted: Vec<&ItemKey> =
        bundles.iter().flat_map(|bundle| &bundle.items).map(|sized| &sized.item).collect();
    for (id, engine) in engines.iter().filter(|(_, engine)| engine.usable) {
        for (item, holding) in engine.ledger.items() {
            let replaced = !wanted.contains(&item) && replacement_ready(engines, &wanted, item);
            if holding != Holding::Ready || !replaced {
                continue;
            }
            moves.push(Move {
                engine: id.clone(),
                action: Action::Unload,
                item: item.clone(),
                per_accelerator: engine.ledger.size_of(item).unwrap_or_default(),
                cause: "no longer in the tree".into(),
            });
        }
    }
}

/// Returns whether every wanted version of the same model or adapter answers somewhere.
fn replacement_ready(
    engines: &BTreeMap<BackendId, EngineState>,
    wanted: &[&ItemKey],
    old: &ItemKey,
) -> bool {
    wanted.iter().filter(|item| item.model == old.model && item.adapter == old.adapter).all(
        |item| engines.values().any(|engine| engine.ledger.holding(item) == Some(Holding::Ready)),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn item(model: &str, adapter: Option<&str>, version: &str) -> ItemKey {
        ItemKey { model: model.into(), adapter: adapter.map(Into::into), version: version.into() }
    }

    fn bundle(model: &str, version: &str, total: u64) -> Bundle {
        let model_item = SizedItem { item: item(model, None, version), total: Mib(total) };
        let adapter = SizedItem { item: item(model, Some("x"), version), total: Mib(2) };
        Bundle { items: vec![model_item, adapter] }
    }

    fn engines(count: usize, size: u64) -> BTreeMap<BackendId, EngineState> {
        (0..count)
            .map(|index| {
                let ledger = EngineLedger::new(vec![Mib(size); 2], Mib(10));
                let state = EngineState { accelerators: 2, ledger, usable: true };
                (BackendId::from(format!("e{index}")), state)
            })
            .collect()
    }

    fn carry_out(engines: &mut BTreeMap<BackendId, EngineState>, moves: &[Move]) {
        for planned in moves {
            let ledger = &mut engines.get_mut(&planned.engine).expect("known").ledger;
            match planned.action {
                Action::Load => {
                    ledger.reserve(planned.item.clone(), planned.per_accelerator).expect("room");
                }
                Action::Unload => ledger.mark_going(&planned.item),
            }
        }
    }

    #[test]
    fn a_steady_shard_has_no_moves() {
        let mut engines = engines(3, 100);
        let bundles: Vec<Bundle> =
            (0..6).map(|index| bundle(&format!("m{index}"), "1", 60)).collect();
        let moves = plan(&engines, &bundles);
        assert_eq!(moves.len(), 12);
        carry_out(&mut engines, &moves);
        assert_eq!(plan(&engines, &bundles), vec![]);
    }

    #[test]
    fn a_lost_engine_moves_only_what_was_lost() {
        let mut engines = engines(3, 100);
        let bundles: Vec<Bundle> =
            (0..4).map(|index| bundle(&format!("m{index}"), "1", 60)).collect();
        let first = plan(&engines, &bundles);
        carry_out(&mut engines, &first);
        let lost = first[0].engine.clone();
        engines.get_mut(&lost).expect("known").usable = false;
        let again = plan(&engines, &bundles);
        let lost_items = first.iter().filter(|planned| planned.engine == lost).count();
        assert_eq!(again.len(), lost_items);
    }

    #[test]
    fn packing_fails_with_the_bundle_that_finds_no_place() {
        let rooms = [Room { engine: "e".into(), accelerators: 1, free: Mib(50) }];
        let error = pack(&rooms, &[bundle("a", "1", 30), bundle("b", "1", 30)]);
        assert_eq!(error.expect_err("too large").item.model.as_str(), "b");
    }
}
