/**
 * Linked list of items in order of arrival. Reading the first item and removing
 * any item take constant time. A JavaScript `Set` is unsuitable: finding its
 * first item scans over the entries that were removed before it.
 */

interface Node<Item> {
  readonly item: Item
  previous: Node<Item> | undefined
  next: Node<Item> | undefined
}

export class IndexedList<Item> {
  private readonly nodes = new Map<Item, Node<Item>>()
  private head: Node<Item> | undefined
  private tail: Node<Item> | undefined

  get size (): number {
    return this.nodes.size
  }

  first (): Item | undefined {
    return this.head?.item
  }

  last (): Item | undefined {
    return this.tail?.item
  }

  push (item: Item): void {
    const node: Node<Item> = { item, previous: this.tail, next: undefined }
    this.nodes.set(item, node)
    if (this.tail === undefined) this.head = node
    else this.tail.next = node
    this.tail = node
  }

  delete (item: Item): boolean {
    const node = this.nodes.get(item)
    if (node === undefined) return false
    this.nodes.delete(item)
    if (node.previous === undefined) this.head = node.next
    else node.previous.next = node.next
    if (node.next === undefined) this.tail = node.previous
    else node.next.previous = node.previous
    return true
  }
}
