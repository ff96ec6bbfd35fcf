//! Parses the files of a tree and builds the [`Tree`].

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use toml::Spanned;

use crate::accounts::{AccountLimit, LimitUnit};
use crate::ids::{AdapterName, BackendId, HallName, ModelName, RegionName, ServiceName};
use crate::units::Mib;

use super::error::{TreeError, TreeErrorKind, TreeErrors, line_of};
use super::files::{FileLevel, MAX_TREE_BYTES, TreeFiles};
use super::policy::Policy;
use super::schema::{
    AdapterFile, BackendTable, CallerTable, ModelFile, RegionFile, RootFile, RouteTable,
    ServiceFile, ServiceKindTag,
};
use super::{Adapter, Backend, Caller, Model, Region, Route, Service, ServiceKind, Tree};

/// The Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const MIN_KEY_SIMILARITY: f64 = 0.7;

/// Parses all files and builds the tree, or returns every error that was found.
pub fn build(files: &TreeFiles) -> Result<Tree, TreeErrors> {
    let mut builder = Builder { files, errors: Vec::new() };
    let tree = builder.build();
    match tree {
        Some(tree) if builder.errors.is_empty() => Ok(tree),
        _ => Err(TreeErrors(builder.errors)),
    }
}

/// A parsed file: its path, its text and its keys.
struct ParsedFile<T> {
    path: Arc<str>,
    text: String,
    keys: T,
}

impl<T> ParsedFile<T> {
    /// Creates the error for a value of this file.
    fn error<V>(&self, key: &str, value: Option<&Spanned<V>>, kind: TreeErrorKind) -> TreeError {
        TreeError {
            file: self.path.to_string(),
            line: value.map(|value| line_of(&self.text, value.span().start)),
            key: Some(key.to_string()),
            kind,
        }
    }
}

/// The burst that a caller may send at once, in seconds of its rate.
const BURST_SECS: f64 = 2.0;

/// The unit of token limits. A request that states no token counts uses none of the limit.
const TOKEN_LIMIT_UNIT: LimitUnit = LimitUnit::Tokens { plain: 0 };

/// Creates a limit from a rate per second.
fn account_limit(unit: LimitUnit, rate: &Spanned<f64>) -> AccountLimit {
    let per_s = *rate.get_ref();
    AccountLimit { unit, per_s, burst: per_s * BURST_SECS }
}

/// Builds a tree and collects the errors of all files.
struct Builder<'a> {
    files: &'a TreeFiles,
    errors: Vec<TreeError>,
}

impl<'a> Builder<'a> {
    fn build(&mut self) -> Option<Tree> {
        self.check_size();
        self.check_paths();
        let root: ParsedFile<RootFile> = self.parse("root.toml")?;
        let policy = Policy::built_in().inherit(&root.keys.policy, &root.path, &root.text);
        let regions = self
            .subfolders("")
            .into_iter()
            .filter_map(|name| Some((RegionName::from(name), self.region(name, &policy)?)))
            .collect();
        let callers = root
            .keys
            .callers
            .iter()
            .map(|(name, table)| (name.as_str().into(), self.caller(&root, table)))
            .collect();
        Some(Tree { deployment: root.keys.deployment, callers, regions })
    }

    fn caller(&mut self, root: &ParsedFile<RootFile>, table: &CallerTable) -> Caller {
        let rates =
            [("requests_per_s", &table.requests_per_s), ("tokens_per_s", &table.tokens_per_s)];
        for (key, rate) in rates {
            if let Some(rate) = rate.as_ref().filter(|rate| *rate.get_ref() <= 0.0) {
                let kind = TreeErrorKind::BadValue {
                    problem: "no request could pass".into(),
                    remedy: "give a number above zero, or leave the key out for no limit".into(),
                };
                self.errors.push(root.error(key, Some(rate), kind));
            }
        }
        Caller {
            key_blake3: table.key_blake3.get_ref().clone(),
            requests: table
                .requests_per_s
                .as_ref()
                .map(|rate| account_limit(LimitUnit::Requests, rate)),
            tokens: table.tokens_per_s.as_ref().map(|rate| account_limit(TOKEN_LIMIT_UNIT, rate)),
        }
    }

    fn region(&mut self, name: &str, inherited: &Policy) -> Option<Region> {
        let region: ParsedFile<RegionFile> = self.parse(&format!("{name}/region.toml"))?;
        let policy = inherited.inherit(&region.keys.policy, &region.path, &region.text);
        let halls: Vec<HallName> =
            region.keys.halls.iter().map(|hall| hall.get_ref().as_str().into()).collect();
        let services = self
            .subfolders(&format!("{name}/"))
            .into_iter()
            .filter_map(|service| {
                let built = self.service(&format!("{name}/{service}"), &policy, &halls)?;
                Some((ServiceName::from(service), built))
            })
            .collect();
        Some(Region { halls, services })
    }

    fn service(&mut self, folder: &str, inherited: &Policy, halls: &[HallName]) -> Option<Service> {
        let service: ParsedFile<ServiceFile> = self.parse(&format!("{folder}/service.toml"))?;
        let policy = inherited.inherit(&service.keys.policy, &service.path, &service.text);
        let mut backends = BTreeMap::new();
        for table in &service.keys.backends {
            let id = BackendId::from(table.get_ref().id.as_str());
            self.check_backend(&service, table, halls);
            if backends.insert(id, backend(table.get_ref())).is_some() {
                let kind = TreeErrorKind::DuplicateName {
                    name: table.get_ref().id.clone(),
                    other: "another backend server of this service".into(),
                };
                self.errors.push(service.error("backends.id", Some(table), kind));
            }
        }
        let kind = match service.keys.kind {
            ServiceKindTag::Engines => {
                self.refuse_routes(&service);
                ServiceKind::Engines { models: self.models(folder, &policy) }
            }
            ServiceKindTag::Plain => {
                self.refuse_models(folder);
                let routes = service.keys.routes.iter().map(|r| route(r.get_ref())).collect();
                ServiceKind::Plain { routes }
            }
        };
        Some(Service { kind, policy, backends })
    }

    fn models(&mut self, folder: &str, inherited: &Policy) -> BTreeMap<ModelName, Model> {
        self.subfolders(&format!("{folder}/"))
            .into_iter()
            .filter_map(|name| {
                let model = self.model(&format!("{folder}/{name}"), inherited)?;
                Some((ModelName::from(name), model))
            })
            .collect()
    }

    fn model(&mut self, folder: &str, inherited: &Policy) -> Option<Model> {
        let model: ParsedFile<ModelFile> = self.parse(&format!("{folder}/model.toml"))?;
        let policy = inherited.inherit(&model.keys.policy, &model.path, &model.text);
        self.check_weights(&model, &model.keys.weights_mib);
        let paths: Vec<&String> = self
            .files
            .0
            .keys()
            .filter(|path| path.strip_prefix(folder).is_some_and(|rest| rest.starts_with('/')))
            .collect();
        let mut adapters = BTreeMap::new();
        for path in paths {
            let Ok(FileLevel::Adapter(_, _, _, name)) = FileLevel::of(path) else {
                continue;
            };
            if let Some(adapter) = self.adapter(path, &policy) {
                adapters.insert(AdapterName::from(name), adapter);
            }
        }
        Some(Model {
            version: model.keys.version.as_str().into(),
            weights: Mib(*model.keys.weights_mib.get_ref()),
            policy,
            adapters,
        })
    }

    fn adapter(&mut self, path: &str, inherited: &Policy) -> Option<Adapter> {
        let adapter: ParsedFile<AdapterFile> = self.parse(path)?;
        self.check_weights(&adapter, &adapter.keys.weights_mib);
        Some(Adapter {
            version: adapter.keys.version.as_str().into(),
            weights: Mib(*adapter.keys.weights_mib.get_ref()),
            policy: inherited.inherit(&adapter.keys.policy, &adapter.path, &adapter.text),
        })
    }

    /// Parses the file at `path`. On failure, records the error and returns `None`.
    fn parse<T: DeserializeOwned>(&mut self, path: &str) -> Option<ParsedFile<T>> {
        let Some(text) = self.files.0.get(path) else {
            self.errors.push(TreeError {
                file: path.to_string(),
                line: None,
                key: None,
                kind: TreeErrorKind::MissingFile,
            });
            return None;
        };
        match toml::from_str(text) {
            Ok(keys) => Some(ParsedFile { path: path.into(), text: text.clone(), keys }),
            Err(error) => {
                self.errors.push(toml_error(path, text, &error));
                None
            }
        }
    }

    /// Returns the names of the folders directly below `prefix`.
    fn subfolders(&self, prefix: &str) -> Vec<&'a str> {
        let mut names: Vec<&str> = self
            .files
            .0
            .keys()
            .filter_map(|path| path.strip_prefix(prefix)?.split_once('/'))
            .map(|(name, _)| name)
            .collect();
        names.dedup();
        names
    }

    fn check_size(&mut self) {
        let size = self.files.size();
        if size > MAX_TREE_BYTES {
            let kind = TreeErrorKind::BadValue {
                problem: format!("the tree has {size} bytes and {MAX_TREE_BYTES} are taken"),
                remedy: "move values that repeat to a level above".into(),
            };
            self.errors.push(TreeError { file: ".".into(), line: None, key: None, kind });
        }
    }

    fn check_paths(&mut self) {
        let stray =
            self.files.0.keys().filter_map(|path| FileLevel::of(path).err()).map(|error| *error);
        self.errors.extend(stray);
    }

    fn check_weights<T>(&mut self, file: &ParsedFile<T>, weights: &Spanned<u64>) {
        if *weights.get_ref() == 0 {
            let kind = TreeErrorKind::BadValue {
                problem: "the weights take no memory".into(),
                remedy: "give their size in MiB".into(),
            };
            self.errors.push(file.error("weights_mib", Some(weights), kind));
        }
    }

    fn check_backend(
        &mut self,
        service: &ParsedFile<ServiceFile>,
        table: &Spanned<BackendTable>,
        halls: &[HallName],
    ) {
        let backend = table.get_ref();
        if backend.address.parse::<std::net::SocketAddr>().is_err() {
            let kind = TreeErrorKind::BadValue {
                problem: format!("`{}` is not an IP address with a port", backend.address),
                remedy: "write it as 10.0.0.1:8000".into(),
            };
            self.errors.push(service.error("backends.address", Some(table), kind));
        }
        if !halls.iter().any(|hall| hall.as_str() == backend.hall) {
            let kind = TreeErrorKind::NoSuch {
                what: "hall",
                name: backend.hall.clone(),
                remedy: "name one of the region's `halls`".into(),
            };
            self.errors.push(service.error("backends.hall", Some(table), kind));
        }
        let is_engine = service.keys.kind == ServiceKindTag::Engines;
        if is_engine && (backend.accelerators == 0 || backend.accelerator_mib == 0) {
            let kind = TreeErrorKind::BadValue {
                problem: format!("the engine `{}` has no accelerator memory", backend.id),
                remedy: "set `accelerators` and `accelerator_mib`".into(),
            };
            self.errors.push(service.error("backends.accelerators", Some(table), kind));
        }
    }

    fn refuse_routes(&mut self, service: &ParsedFile<ServiceFile>) {
        if let Some(first) = service.keys.routes.first() {
            let kind = TreeErrorKind::BadValue {
                problem: "a service on engines has no routes".into(),
                remedy: "remove them, or set `kind = \"plain\"`".into(),
            };
            self.errors.push(service.error("routes", Some(first), kind));
        }
    }

    fn refuse_models(&mut self, folder: &str) {
        for name in self.subfolders(&format!("{folder}/")) {
            self.errors.push(TreeError {
                file: format!("{folder}/{name}"),
                line: None,
                key: None,
                kind: TreeErrorKind::StrayFile {
                    remedy: "a plain service has no models; remove the folder".into(),
                },
            });
        }
    }
}

/// Converts a `[[backends]]` table to a backend server.
fn backend(table: &BackendTable) -> Backend {
    Backend {
        address: table.address.clone(),
        hall: table.hall.as_str().into(),
        accelerators: vec![Mib(table.accelerator_mib); table.accelerators],
        checks_fence: table.checks_fence,
    }
}

/// Converts a `[[routes]]` table to a route.
fn route(table: &RouteTable) -> Route {
    Route {
        method: table.method.as_ref().map(|method| method.to_uppercase()),
        path: table.path.clone(),
        repeatable: table.repeatable,
    }
}

/// Converts an error of the TOML parser, with the key that it concerns where that is known.
fn toml_error(path: &str, text: &str, error: &toml::de::Error) -> TreeError {
    let offset = error.span().map(|span| span.start);
    let message = error.message().to_string();
    let unknown = message.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
    let key = match (unknown, offset) {
        (Some(name), _) => Some(name.to_string()),
        (None, Some(offset)) => key_on_line(text, offset),
        (None, None) => None,
    };
    let kind = match unknown {
        Some(name) => TreeErrorKind::UnknownKey { remedy: unknown_key_remedy(name, &message) },
        None => TreeErrorKind::BadToml { message },
    };
    TreeError {
        file: path.to_string(),
        line: offset.map(|offset| line_of(text, offset)),
        key,
        kind,
    }
}

/// Returns the key of the line at `offset`, if the line has the form `key = value`.
fn key_on_line(text: &str, offset: usize) -> Option<String> {
    let line = text.lines().nth(line_of(text, offset) - 1)?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_string())
}

/// Suggests the known key that is most similar to `name`, or lists all known keys if none is close.
///
/// The known keys are taken from the parser's `message`, which quotes them after the unknown one.
fn unknown_key_remedy(name: &str, message: &str) -> String {
    let known: Vec<&str> = message.split('`').skip(3).step_by(2).collect();
    let nearest = known
        .iter()
        .map(|key| (strsim::jaro_winkler(key, name), key))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((similarity, key)) if similarity >= MIN_KEY_SIMILARITY => {
            format!("did you mean `{key}`?")
        }
        _ => format!("the keys here are {}", known.join(", ")),
    }
}
