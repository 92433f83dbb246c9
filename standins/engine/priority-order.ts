/** Priority order of the engine's queues. */

interface Prioritized {
  readonly command: { readonly priority: number };
}

/** Inserts an item after all items of the same or higher priority; 0 is the highest priority. */
export function addByPriority<Item extends Prioritized>(queue: Item[], item: Item): void {
  const behind = queue.findIndex((other) => other.command.priority > item.command.priority);
  if (behind === -1) queue.push(item);
  else queue.splice(behind, 0, item);
}
