package org.bilberryhead.core.statechart

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import kotlin.enums.EnumEntries
import kotlin.enums.enumEntries

/**
 * What a chart prescribes for one event in one state.
 *
 * @property target the state after the event
 * @property action what to do on the way, or null for nothing
 */
data class Transition<S : Enum<S>, A : Enum<A>>(val target: S, val action: A?)

/**
 * A state chart read from a file, with states [S], events [E] and actions [A] given as enums.
 *
 * The file names a transition for every event in every state that is not final; an event in a final state is ignored.
 */
class StateChart<S : Enum<S>, E : Enum<E>, A : Enum<A>> internal constructor(
    /** The name of the chart, for logs. */
    val name: String,
    /** The state in which every instance starts. */
    val initial: S,
    /** States that no event leaves. */
    val finalStates: Set<S>,
    private val transitions: Map<S, Map<E, Transition<S, A>>>,
) {
    /** Returns whether no event leaves [state]. */
    fun isFinal(state: S): Boolean = state in finalStates

    /** Returns the transition for [event] in [state]; in a final state it stays there without an action. */
    fun next(state: S, event: E): Transition<S, A> {
        if (isFinal(state)) return Transition(state, null)
        return transitions.getValue(state).getValue(event)
    }

    /** Returns every state that can be reached from the initial one. */
    fun reachableStates(): Set<S> {
        val reached = mutableSetOf(initial)
        val open = ArrayDeque(listOf(initial))
        while (open.isNotEmpty()) {
            val targets = transitions[open.removeFirst()].orEmpty().values.map { it.target }
            open += targets.filter { reached.add(it) }
        }
        return reached
    }

    companion object {
        /**
         * Reads the chart in resource [path].
         *
         * @throws IllegalStateException when the file is missing, or does not fit the enums exactly
         */
        inline fun <reified S : Enum<S>, reified E : Enum<E>, reified A : Enum<A>> load(
            path: String,
        ): StateChart<S, E, A> = StateChartReader(path, enumEntries<S>(), enumEntries<E>(), enumEntries<A>()).read()
    }
}

/** Reads and checks one chart file. */
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
        check(transitions.keys.none { it in finalStates }) { "state chart $path has events in a final state" }
        return StateChart(file.name, state(file.initial), finalStates, transitions)
    }

    private fun readState(name: String, rows: Map<String, TransitionFile>): Map<E, Transition<S, A>> {
        val read = rows.entries.associate { (event, row) ->
            event(event) to
                Transition(state(row.target), row.action?.let(::action))
        }
        check(read.keys == events.toSet()) { "state $name of $path does not handle ${events.toSet() - read.keys}" }
        return read
    }

    private fun state(name: String): S = find(states, name)

    private fun event(name: String): E = find(events, name)

    private fun action(name: String): A = find(actions, name)

    private fun <T : Enum<T>> find(entries: EnumEntries<T>, name: String): T =
        checkNotNull(entries.find { it.name == name }) { "state chart $path names unknown $name" }
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
