/** Extracts the names of functions and methods from source text. */
import * as ts from "typescript";

/** A named function or method. */
export interface NamedFunction {
  readonly name: string;
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
}

/**
 * Lists functions, methods of classes and interfaces, and variables initialized with a function.
 *
 * Omits properties of object literals, accessors, constructors, symbol-named methods and methods of
 * `PROTOCOL_METHODS`.
 */
export function listFunctions(file: string, text: string): NamedFunction[] {
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const found: NamedFunction[] = [];
  const addFrom = (node: ts.Node): void => {
    const name = findName(node);
    if (name !== undefined && !PROTOCOL_METHODS.has(name)) {
      const { line } = source.getLineAndCharacterOfPosition(node.getStart(source));
      found.push({ name, file, line: line + 1 });
    }
    ts.forEachChild(node, addFrom);
  };
  addFrom(source);
  return found;
}

/** Methods whose names are prescribed by iterators, streams or the HTTP agent. */
const PROTOCOL_METHODS: ReadonlySet<string> = new Set([
  "next",
  "return",
  "throw",
  "keepSocketAlive",
  "reuseSocket",
  "_write",
  "_final",
]);

/** Returns whether the first word of a name is one of the verbs. */
export function hasVerb(name: string, verbs: ReadonlySet<string>): boolean {
  const [first = ""] = name.replace(/^#/, "").split(/(?=[A-Z])/);
  return verbs.has(first);
}

function findName(node: ts.Node): string | undefined {
  if (ts.isFunctionDeclaration(node)) return node.name?.text;
  if (ts.isMethodDeclaration(node) || ts.isMethodSignature(node)) return findText(node.name);
  if (!ts.isVariableDeclaration(node) || node.initializer === undefined) return undefined;
  const isFunction =
    ts.isArrowFunction(node.initializer) || ts.isFunctionExpression(node.initializer);
  return isFunction ? findText(node.name) : undefined;
}

function findText(name: ts.Node): string | undefined {
  return ts.isIdentifier(name) || ts.isPrivateIdentifier(name) ? name.text : undefined;
}
