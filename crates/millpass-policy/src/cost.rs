//! Static bounds of a program: depth of its syntax tree, names, functions and worst-case cost.
//!
//! Macros (`all`, `exists`, `map`, ..) are the only loops in programs. Their range must be a list
//! or map literal, so the number of iterations is known statically.

use crate::attributes::VARIABLES;
use cel::common::ast::{CallExpr, ComprehensionExpr, EntryExpr, Expr, IdedExpr};

/// Maximum depth of the syntax tree.
pub const MAXIMUM_DEPTH: usize = 64;
/// Maximum worst-case cost, in evaluated nodes.
pub const MAXIMUM_COST: u64 = 5_000;
/// Maximum nesting of macros.
pub const MAXIMUM_MACRO_NESTING: usize = 2;

/// Cost of a call that reads whole strings, in nodes.
const STRING_CALL_COST: u64 = 4;
/// Supported functions besides operators and macros. Regular expressions are excluded because their
/// cost is not visible in the syntax tree.
const FUNCTIONS: [&str; 8] = [
    "size",
    "contains",
    "startsWith",
    "endsWith",
    "string",
    "int",
    "uint",
    "double",
];

/// A violated bound.
pub(crate) struct Violation {
    /// Id of the node in the source map.
    pub node: u64,
    /// What is wrong.
    pub reason: String,
    /// How to fix it.
    pub remedy: &'static str,
}

/// Checks a whole program and returns its worst-case cost.
pub(crate) fn check(root: &IdedExpr) -> Result<u64, Violation> {
    let mut walker = CostWalker { scope: Vec::new() };
    let cost = walker.cost(root, 1)?;
    if cost > MAXIMUM_COST {
        return Err(Violation {
            node: root.id,
            reason: format!("worst-case cost of {cost} steps exceeds {MAXIMUM_COST}"),
            remedy: "use shorter lists or nest fewer macros",
        });
    }
    Ok(cost)
}

/// Traversal of a syntax tree.
struct CostWalker {
    /// Variables bound by the enclosing macros.
    scope: Vec<String>,
}

impl CostWalker {
    fn cost(&mut self, node: &IdedExpr, depth: usize) -> Result<u64, Violation> {
        if depth > MAXIMUM_DEPTH {
            return Err(Violation {
                node: node.id,
                reason: format!("expression is nested deeper than {MAXIMUM_DEPTH} levels"),
                remedy: "split it into several policies",
            });
        }
        let children = match &node.expr {
            Expr::Unspecified | Expr::Literal(_) => 0,
            Expr::Ident(name) => self.check_identifier(node, name)?,
            Expr::Select(select) => self.cost(&select.operand, depth + 1)?,
            Expr::List(list) => self.sum_costs(list.elements.iter(), depth)?,
            Expr::Map(map) => {
                self.entry_costs(map.entries.iter().map(|entry| &entry.expr), depth)?
            }
            Expr::Struct(value) => {
                self.entry_costs(value.entries.iter().map(|entry| &entry.expr), depth)?
            }
            Expr::Call(call) => self.call_cost(node, call, depth)?,
            Expr::Comprehension(macro_call) => self.macro_cost(macro_call, depth)?,
        };
        Ok(children.saturating_add(1))
    }

    fn sum_costs<'a>(
        &mut self,
        nodes: impl Iterator<Item = &'a IdedExpr>,
        depth: usize,
    ) -> Result<u64, Violation> {
        let mut total = 0u64;
        for node in nodes {
            total = total.saturating_add(self.cost(node, depth + 1)?);
        }
        Ok(total)
    }

    fn entry_costs<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EntryExpr>,
        depth: usize,
    ) -> Result<u64, Violation> {
        let mut total = 0u64;
        for entry in entries {
            let cost = match entry {
                EntryExpr::StructField(field) => self.cost(&field.value, depth + 1)?,
                EntryExpr::MapEntry(pair) => self
                    .cost(&pair.key, depth + 1)?
                    .saturating_add(self.cost(&pair.value, depth + 1)?),
            };
            total = total.saturating_add(cost);
        }
        Ok(total)
    }

    fn check_identifier(&self, node: &IdedExpr, name: &str) -> Result<u64, Violation> {
        if VARIABLES.contains(&name) || self.scope.iter().any(|bound| bound == name) {
            return Ok(0);
        }
        Err(Violation {
            node: node.id,
            reason: format!("unknown variable `{name}`"),
            remedy: "use tenant, model, adapter, kind or path",
        })
    }

    fn call_cost(
        &mut self,
        node: &IdedExpr,
        call: &CallExpr,
        depth: usize,
    ) -> Result<u64, Violation> {
        let own_cost = if is_operator(&call.func_name) {
            0
        } else if FUNCTIONS.contains(&call.func_name.as_str()) {
            STRING_CALL_COST
        } else {
            return Err(Violation {
                node: node.id,
                reason: format!("unknown function `{}`", call.func_name),
                remedy: "use operators, `in`, has, all, exists, exists_one, map, filter, size, \
                         contains, startsWith, endsWith, string, int, uint or double",
            });
        };
        let target = self.sum_costs(call.target.iter().map(|target| &**target), depth)?;
        let arguments = self.sum_costs(call.args.iter(), depth)?;
        Ok(own_cost.saturating_add(target).saturating_add(arguments))
    }

    fn macro_cost(&mut self, call: &ComprehensionExpr, depth: usize) -> Result<u64, Violation> {
        let nested = self.scope.iter().filter(|name| name.is_empty()).count();
        if nested >= MAXIMUM_MACRO_NESTING {
            return Err(Violation {
                node: call.iter_range.id,
                reason: format!("macros are nested deeper than {MAXIMUM_MACRO_NESTING}"),
                remedy: "expand the inner macro",
            });
        }
        let iterations = maximum_iterations(&call.iter_range)?;
        let range = self.cost(&call.iter_range, depth + 1)?;
        let start = self.cost(&call.accu_init, depth + 1)?;
        let outer_scope = self.scope.len();
        // An empty name, which no source can contain, marks each level of nesting.
        self.scope.push(String::new());
        self.scope.push(call.iter_var.clone());
        self.scope.extend(call.iter_var2.clone());
        self.scope.push(call.accu_var.clone());
        let condition = self.cost(&call.loop_cond, depth + 1)?;
        let step = self.cost(&call.loop_step, depth + 1)?;
        let result = self.cost(&call.result, depth + 1)?;
        self.scope.truncate(outer_scope);
        let iteration = condition.saturating_add(step);
        let total = iterations.saturating_mul(iteration).saturating_add(range);
        Ok(total.saturating_add(start).saturating_add(result))
    }
}

/// Operators have names that no source can contain, such as `_&&_`, `!_` or `@in`.
fn is_operator(name: &str) -> bool {
    name.contains(['_', '@']) && !name.starts_with(char::is_alphabetic)
}

/// Returns the maximum number of elements in a macro's range.
fn maximum_iterations(range: &IdedExpr) -> Result<u64, Violation> {
    match &range.expr {
        Expr::List(list) => Ok(list.elements.len() as u64),
        Expr::Map(map) => Ok(map.entries.len() as u64),
        Expr::Comprehension(inner) => maximum_iterations(&inner.iter_range),
        _ => Err(Violation {
            node: range.id,
            reason: "macro range is not a list or map literal".to_owned(),
            remedy: "use a list or map literal",
        }),
    }
}
