"""Finds the line of each key in a TOML or JSON file, by the file's syntax tree.

Needs the tree-sitter libraries, which the relay itself does not depend on.
"""

from __future__ import annotations

import ast
import json

import tree_sitter_json
import tree_sitter_toml
from tree_sitter import Language, Node, Parser

TOML = Language(tree_sitter_toml.language())
JSON = Language(tree_sitter_json.language())
MAX_DEPTH = 50  # of nested tables; the model needs less, and deeper keys get no line number


def lines_of(text: str, is_toml: bool) -> dict[str, int]:
    """Return the line number, from 1, of each key and row by its path, such as `products[0].sla_time`."""
    tree, lines = Parser(TOML if is_toml else JSON).parse(text.encode()), {}
    if is_toml:
        _visit_toml(tree.root_node, lines)
    elif tree.root_node.named_children:
        _visit_json(tree.root_node.named_children[0], "", lines, 0)
    return lines


def _add_line(lines: dict[str, int], path: str, node: Node) -> None:
    lines.setdefault(path, node.start_point[0] + 1)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _visit_json(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    if depth > MAX_DEPTH:
        return
    if node.type == "object":
        for pair in node.named_children:
            key, value = pair.child_by_field_name("key"), pair.child_by_field_name("value")
            if key is not None and value is not None:
                key_path = _join(path, str(json.loads(key.text)))
                _add_line(lines, key_path, pair)
                _visit_json(value, key_path, lines, depth + 1)
    elif node.type == "array":
        for index, each in enumerate(node.named_children):
            _add_line(lines, f"{path}[{index}]", each)
            _visit_json(each, f"{path}[{index}]", lines, depth + 1)


def _key_names(node: Node) -> list[str]:
    """Return the names in a bare, quoted or dotted TOML key."""
    if node.type == "dotted_key":
        return [name for each in node.named_children for name in _key_names(each)]
    text = node.text.decode()
    return [str(ast.literal_eval(text)) if text[:1] in "\"'" else text]


def _visit_toml(root: Node, lines: dict[str, int]) -> None:
    last_rows: dict[str, int] = {}  # index of the last row so far, by the path of its list
    for node in root.named_children:
        if node.type == "pair":
            _visit_pair(node, "", lines, 0)
        elif node.type in ("table", "table_array_element") and node.named_children:
            path = ""
            for name in _key_names(node.named_children[0]):
                path = _join(path, name)
                if path in last_rows:  # a table inside the last row
                    path = f"{path}[{last_rows[path]}]" if node.type == "table" else path
            if node.type == "table_array_element":
                _add_line(lines, path, node)
                last_rows[path] = last_rows.get(path, -1) + 1
                path = f"{path}[{last_rows[path]}]"
            _add_line(lines, path, node)
            for pair in node.named_children[1:]:
                if pair.type == "pair":
                    _visit_pair(pair, path, lines, 0)


def _visit_pair(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    key, value = node.named_children[0], node.named_children[-1]
    for name in _key_names(key):
        path = _join(path, name)
        _add_line(lines, path, node)
    _visit_value(value, path, lines, depth)


def _visit_value(node: Node, path: str, lines: dict[str, int], depth: int) -> None:
    if depth > MAX_DEPTH:
        return
    if node.type == "inline_table":
        for pair in node.named_children:
            if pair.type == "pair":
                _visit_pair(pair, path, lines, depth + 1)
    elif node.type == "array":
        for index, each in enumerate(each for each in node.named_children if each.type != "comment"):
            _add_line(lines, f"{path}[{index}]", each)
            _visit_value(each, f"{path}[{index}]", lines, depth + 1)
