/**
 * Groups in the order in which their first item came.
 */

export const groupBy = <Key, Item>(items: Iterable<Item>, keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> => {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
