package org.bilberryhead.core.statechart

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import kotlin.enums.EnumEntries
import kotlin.enums.enumEntries

/**
 * Transition for one event in one state.
 *
 * @property target the state after the event
 * @property action the action to perform, or null for none
 */
data class Transition<S : Enum<S>, A : Enum<A>>(val target: S, val action: A?)

/**
 * A state chart read from a file, whose states [S], events [E] and actions [A] are enums.
 *
 * The file has a transition for every event in every state that is not final. An event in a final state is ignored.
 */
class StateChart<S : Enum<S>, E : Enum<E>, A : Enum<A>> internal constructor(
    /** Name of the chart, for logs. */
    val name: String,
    /** State in which every instance of the chart starts. */
    val initial: S,
    /** States without outgoing transitions. */
    val finalStates: Set<S>,
    private val transitions: Map<S, Map<E, Transition<S, A>>>,
) {
    /** Returns whether [state] is final. */
    fun isFinal(state: S): Boolean = state in finalStates

    /** Returns the transition for [event] in [state]. In a final state: no action, same state. */
    fun next(state: S, event: E): Transition<S, A> {
        if (isFinal(state)) return Transition(state, null)
        return transitions.getValue(state).getValue(event)
    }

    /** Returns all states that are reachable from the initial state. */
    fun reachableStates(): Set<S> {
        val reached = mutableSetOf(initial)
        val unexplored = ArrayDeque(listOf(initial))
        while (unexplored.isNotEmpty()) {
            val targets = transitions[unexplored.removeFirst()].orEmpty().values.map { it.target }
            unexplored += targets.filter { reached.add(it) }
        }
        return reached
    }

    companion object {
        /**
         * Reads the chart from resource [path].
         *
         * @throws IllegalStateException if the file is missing or its names do not match the enums exactly
         */
        inline fun <reified S : Enum<S>, reified E : Enum<E>, reified A : Enum<A>> load(
            path: String,
        ): StateChart<S, E, A> = StateChartReader(path, enumEntries<S>(), enumEntries<E>(), enumEntries<A>()).read()
    }
}

/** Reads and validates one chart file. */
@PublishedApi
internal class StateChartReader<S : Enum<S>, E : Enum<E>, A : Enum<A>>(
    private val path: String,
    private val states: EnumEntries<S>,
    private val events: EnumEntries<E>,
    private val actions: EnumEntries<A>,
) {
    fun read(): StateChart<S, E, A> {
        val text = checkNotNull(javaClass.getResourceAsStream(path)) { "state chart $path is missing" }
            .use { it.readBytes().decodeToString() }
        val file = Yaml.default.decodeFromString(StateChartFile.serializer(), text)
        val finalStates = file.final.map(::state).toSet()
        val transitions = file.states.entries.associate { (name, rows) -> state(name) to readState(name, rows) }
        check(transitions.keys + finalStates == states.toSet()) { "state chart $path does not list every state" }
        check(transitions.keys.none { it in finalStates }) { "state chart $path has transitions in a final state" }
        return StateChart(file.name, state(file.initial), finalStates, transitions)
    }

    private fun readState(name: String, rows: Map<String, TransitionFile>): Map<E, Transition<S, A>> {
        val transitions = rows.entries.associate { (event, row) ->
            event(event) to
                Transition(state(row.target), row.action?.let(::action))
        }
        check(transitions.keys == events.toSet()) {
            "state $name of $path does not handle ${events.toSet() - transitions.keys}"
        }
        return transitions
    }

    private fun state(name: String): S = find(states, name)

    private fun event(name: String): E = find(events, name)

    private fun action(name: String): A = find(actions, name)

    private fun <T : Enum<T>> find(entries: EnumEntries<T>, name: String): T =
        checkNotNull(entries.find { it.name == name }) { "state chart $path contains the unknown name $name" }
}

@Serializable
internal data class StateChartFile(
    val name: String,
    val initial: String,
    val final: List<String>,
    val states: Map<String, Map<String, TransitionFile>>,
)

@Serializable
internal data class TransitionFile(val target: String, val action: String? = null)
